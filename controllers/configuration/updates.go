package configuration

import (
	"sync"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/wire"
	"github.com/cockroachdb/errors"
)

// maxBaseVersions is the number of recent versions that are kept as bases for
// deltas.
const maxBaseVersions = 16

// updateCache keeps recent versions of the configuration and creates updates
// between them. All methods may be called concurrently, except findVersion,
// which requires mu to be held.
type updateCache struct {
	mu       sync.Mutex
	versions []*config.Config             // ordered by version, newest last
	encoded  map[uint64]wire.ConfigUpdate // updates to the newest version, by base version; 0 for the full value
}

// add stores cfg as the newest version, if it is newer than the others, and as
// a base for later deltas.
func (u *updateCache) add(cfg *config.Config) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.versions); n > 0 && u.versions[n-1].Version >= cfg.Version {
		return
	}
	u.versions = append(u.versions, cfg)
	if len(u.versions) > maxBaseVersions {
		u.versions = append([]*config.Config(nil), u.versions[1:]...)
	}
	u.encoded = make(map[uint64]wire.ConfigUpdate)
}

// updateFrom returns the update from a version to the newest one. It returns an
// empty update if the newest version is not greater.
func (u *updateCache) updateFrom(version uint64) (wire.ConfigUpdate, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.versions) == 0 || u.versions[len(u.versions)-1].Version <= version {
		return wire.ConfigUpdate{}, nil
	}
	base := u.findVersion(version)
	key := uint64(0)
	if base != nil {
		key = version
	}
	if update, ok := u.encoded[key]; ok {
		return update, nil
	}
	update, err := newUpdate(base, u.versions[len(u.versions)-1])
	if err != nil {
		return wire.ConfigUpdate{}, err
	}
	u.encoded[key] = update
	return update, nil
}

// findVersion returns a kept version, or nil. The caller holds mu.
func (u *updateCache) findVersion(version uint64) *config.Config {
	for _, cfg := range u.versions {
		if cfg.Version == version {
			return cfg
		}
	}
	return nil
}

// newUpdate encodes next. The update is a delta if base is not nil and the
// delta is smaller than the full value.
func newUpdate(base, next *config.Config) (wire.ConfigUpdate, error) {
	full, err := config.Encode(next)
	if err != nil {
		return wire.ConfigUpdate{}, err
	}
	update := wire.ConfigUpdate{Version: next.Version, Encoded: full}
	if base == nil {
		return update, nil
	}
	delta, err := config.NewDelta(base, next)
	if err != nil {
		return wire.ConfigUpdate{}, err
	}
	encoded, err := config.EncodeDelta(delta)
	if err != nil {
		return wire.ConfigUpdate{}, err
	}
	if len(encoded) < len(full) {
		update.Base, update.Encoded = base.Version, encoded
	}
	return update, nil
}

// decodeUpdate returns the configuration that results from applying update to
// current. It returns config.ErrDeltaMismatch if the update is a delta from a
// version other than current.
func decodeUpdate(update wire.ConfigUpdate, current *board.Adopted) (*config.Config, error) {
	cfg, err := decodeBody(update, current)
	if err != nil {
		return nil, err
	}
	if cfg.Version != update.Version {
		return nil, errors.Newf("configuration: update to version %d contains version %d", update.Version, cfg.Version)
	}
	return cfg, nil
}

func decodeBody(update wire.ConfigUpdate, current *board.Adopted) (*config.Config, error) {
	if update.Base == 0 {
		return config.Decode(update.Encoded)
	}
	delta, err := config.DecodeDelta(update.Encoded)
	if err != nil {
		return nil, err
	}
	if current == nil || current.Config.Version != update.Base {
		return nil, errors.Wrapf(config.ErrDeltaMismatch, "base version %d", update.Base)
	}
	return delta.Apply(current.Config)
}
