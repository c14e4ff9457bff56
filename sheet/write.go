package sheet

import (
	"encoding/csv"
	"io"
	"strconv"
	"strings"

	"dandelionrill.example/fleet/config"
	"github.com/cockroachdb/errors"
)

// Write writes cfg as a sheet. A version other than 0 is written as the base of
// the sheet.
func Write(w io.Writer, cfg *config.Config) error {
	out := csv.NewWriter(w)
	rows := []map[string]string{}
	if cfg.Version != 0 {
		rows = append(rows, map[string]string{colKind: kindBase, colID: strconv.FormatUint(cfg.Version, 10)})
	}
	for _, c := range cfg.Customers {
		rows = append(rows, customerRow(c))
	}
	for _, s := range cfg.Services {
		rows = append(rows, serviceRow(s))
	}
	for _, r := range cfg.Rules {
		rows = append(rows, ruleRow(r))
	}
	if err := out.Write(columns); err != nil {
		return errors.Wrap(err, "sheet: write")
	}
	for _, row := range rows {
		record := make([]string, len(columns))
		for i, column := range columns {
			record[i] = row[column]
		}
		if err := out.Write(record); err != nil {
			return errors.Wrap(err, "sheet: write")
		}
	}
	out.Flush()
	return errors.Wrap(out.Error(), "sheet: write")
}

func customerRow(c config.Customer) map[string]string {
	return map[string]string{
		colKind: kindCustomer, colID: c.ID,
		colKeyHashes:   strings.Join(c.KeyHashes, listSeparator),
		colWeight:      strconv.Itoa(c.Weight),
		colMaxInFlight: strconv.Itoa(c.MaxInFlight),
		colMaxQueued:   strconv.Itoa(c.MaxQueued),
	}
}

func serviceRow(s config.Service) map[string]string {
	calls := make([]string, 0, len(s.Idempotent))
	for _, c := range s.Idempotent {
		calls = append(calls, c.Method+" "+c.PathPrefix)
	}
	return map[string]string{
		colKind: kindService, colID: s.ID,
		colServiceKind:    string(s.Kind),
		colLoadMultiple:   strconv.FormatFloat(s.LoadMultiple, 'g', -1, 64),
		colModels:         strings.Join(s.Models, listSeparator),
		colIdempotent:     strings.Join(calls, listSeparator),
		colResumes:        yesNo(s.Resumes),
		colChecksFencing:  yesNo(s.ChecksFencing),
		colTimeoutSeconds: strconv.Itoa(s.TimeoutSeconds),
	}
}

func ruleRow(r config.Rule) map[string]string {
	return map[string]string{
		colKind: kindRule, colCustomer: r.Customer, colService: r.Service, colHost: r.Host,
		colFailureDomain: r.FailureDomain, colPriority: strconv.Itoa(r.Priority),
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
