package cli

import (
	"context"
	"strconv"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/problem"
	"dandelionrill.example/fleet/revision"

	"github.com/cockroachdb/errors"
)

// adminConfigurationStore gives the admin API access to the versions of the
// configuration.
type adminConfigurationStore struct {
	store *revision.Store
}

// Current implements admin.ConfigurationStore.
func (v *adminConfigurationStore) Current(ctx context.Context) (*config.Config, error) {
	return v.store.Current(ctx)
}

// Publish implements admin.ConfigurationStore.
func (v *adminConfigurationStore) Publish(ctx context.Context, cfg *config.Config, base uint64) (uint64, error) {
	config.Normalize(cfg)
	version, err := v.store.Publish(ctx, cfg, base)
	var conflict *revision.ConflictError
	var lost *revision.LostVersionError
	var invalid *config.InvalidError
	var tooLarge *revision.TooLargeError
	switch {
	case errors.As(err, &conflict):
		return 0, &admin.ConflictError{Base: conflict.Base, Newest: conflict.Newest, Findings: conflictFindings(conflict)}
	case errors.As(err, &lost):
		finding := problem.Finding{Place: "base", Value: strconv.FormatUint(base, 10), Message: lost.Error()}
		return 0, &admin.ConflictError{Base: base, Newest: lost.Newest, Findings: []problem.Finding{finding}}
	case errors.As(err, &invalid):
		findings := make([]problem.Finding, 0, len(invalid.Findings))
		for _, f := range invalid.Findings {
			findings = append(findings, problem.Finding{Place: f.Place, Value: f.Value, Message: "allowed: " + f.Allowed})
		}
		return 0, &admin.InvalidError{Findings: findings}
	case errors.As(err, &tooLarge):
		size := problem.Finding{Place: "configuration", Value: strconv.Itoa(tooLarge.Bytes), Message: tooLarge.Error()}
		return 0, &admin.InvalidError{Findings: []problem.Finding{size}}
	}
	return version, err
}

// conflictFindings lists the changes published since the base version of the
// rejected edit, as far as the history goes.
func conflictFindings(conflict *revision.ConflictError) []problem.Finding {
	var findings []problem.Finding
	for _, step := range conflict.Since {
		place := "version " + strconv.FormatUint(step.Version, 10) + " by " + step.Author
		for _, change := range step.Changes {
			findings = append(findings, problem.Finding{Place: place, Value: change.Row, Message: change.String()})
		}
	}
	return findings
}
