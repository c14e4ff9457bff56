// Package sheet reads and writes the configuration as a single CSV file, the
// format in which planners export it from a spreadsheet. docs/SHEET.md describes
// the format.
package sheet

import (
	"fmt"
	"strings"
)

// Column names. The kind of a row determines which columns it may fill.
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

// Kinds of rows.
const (
	kindBase     = "base"
	kindCustomer = "customer"
	kindService  = "service"
	kindRule     = "rule"
)

// listSeparator separates the values of a cell that contains a list.
const listSeparator = ";"

// columns lists all columns in the order in which Write writes them.
var columns = []string{
	colKind, colID,
	colKeyHashes, colWeight, colMaxInFlight, colMaxQueued,
	colServiceKind, colLoadMultiple, colModels, colIdempotent, colResumes, colChecksFencing, colTimeoutSeconds,
	colCustomer, colService, colHost, colFailureDomain, colPriority,
}

// columnsOf lists, for each kind of row, the columns that it may fill.
var columnsOf = map[string][]string{
	kindBase:     {colKind, colID},
	kindCustomer: {colKind, colID, colKeyHashes, colWeight, colMaxInFlight, colMaxQueued},
	kindService:  {colKind, colID, colServiceKind, colLoadMultiple, colModels, colIdempotent, colResumes, colChecksFencing, colTimeoutSeconds},
	kindRule:     {colKind, colCustomer, colService, colHost, colFailureDomain, colPriority},
}

// Finding is one invalid value in a sheet.
type Finding struct {
	Row     int    // line in the file, from 1; 0 if the finding belongs to no line
	Column  string // name of the column; empty if the finding concerns the entire row
	Value   string // the invalid value
	Allowed string // description of the allowed values
}

// String formats the finding as one line of text.
func (f Finding) String() string {
	place := fmt.Sprintf("row %d", f.Row)
	if f.Column != "" {
		place += ", column " + f.Column
	}
	return fmt.Sprintf("%s: %q: allowed: %s", place, f.Value, f.Allowed)
}

// InvalidError contains all findings on a sheet.
type InvalidError struct {
	Findings []Finding
}

// Error lists the findings, one per line.
func (e *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("sheet: %d findings", len(e.Findings))}
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
