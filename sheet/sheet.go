// Package sheet reads and writes the configuration as one CSV file, as planners
// export it from their spreadsheet. docs/SHEET.md describes the format.
package sheet

import (
	"fmt"
	"strings"
)

// The columns. Which of them a row may fill depends on its kind.
const (
	colKind           = "kind"
	colID             = "id"
	colKeyHashes      = "key_hashes"
	colWeight         = "weight"
	colMaxInFlight    = "max_in_flight"
	colMaxQueued      = "max_queued"
	colServiceKind    = "service_kind"
	colLoadMultiple   = "load_multiple"
	colModels         = "models"
	colIdempotent     = "idempotent"
	colResumes        = "resumes"
	colChecksFencing  = "checks_fencing"
	colTimeoutSeconds = "timeout_seconds"
	colCustomer       = "customer"
	colService        = "service"
	colHost           = "host"
	colFailureDomain  = "failure_domain"
	colPriority       = "priority"
)

// The kinds of row.
const (
	kindBase     = "base"
	kindCustomer = "customer"
	kindService  = "service"
	kindRule     = "rule"
)

// separator divides the values of one cell.
const separator = ";"

// columns is the order in which Write puts the columns.
var columns = []string{
	colKind, colID,
	colKeyHashes, colWeight, colMaxInFlight, colMaxQueued,
	colServiceKind, colLoadMultiple, colModels, colIdempotent, colResumes, colChecksFencing, colTimeoutSeconds,
	colCustomer, colService, colHost, colFailureDomain, colPriority,
}

// columnsOf tells which columns a row may fill.
var columnsOf = map[string][]string{
	kindBase:     {colKind, colID},
	kindCustomer: {colKind, colID, colKeyHashes, colWeight, colMaxInFlight, colMaxQueued},
	kindService:  {colKind, colID, colServiceKind, colLoadMultiple, colModels, colIdempotent, colResumes, colChecksFencing, colTimeoutSeconds},
	kindRule:     {colKind, colCustomer, colService, colHost, colFailureDomain, colPriority},
}

// Finding is one fault of a sheet.
type Finding struct {
	Row     int    // line in the file, from 1
	Column  string // name of the column; empty if the row as a whole is meant
	Value   string // as found
	Allowed string // what the cell may hold
}

// String returns the finding on one line.
func (f Finding) String() string {
	place := fmt.Sprintf("row %d", f.Row)
	if f.Column != "" {
		place += ", column " + f.Column
	}
	return fmt.Sprintf("%s: %q: allowed: %s", place, f.Value, f.Allowed)
}

// InvalidError carries all findings on a sheet.
type InvalidError struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("sheet: %d findings", len(e.Findings))}
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
