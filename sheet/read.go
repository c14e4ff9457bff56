package sheet

import (
	"bufio"
	"cmp"
	"encoding/csv"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"dandelionrill.example/fleet/config"
	"github.com/cockroachdb/errors"
)

// maxBytes limits the size of a sheet.
const maxBytes = 16 << 20

// Sheet is a configuration as read from a file.
type Sheet struct {
	Config *config.Config // without version
	Base   uint64         // version that the sheet was exported from; 0 if it does not say
}

// place is where a field of the configuration stands in the file.
type place struct {
	list  string // customers, services or rules
	index int
}

// reader collects rows and findings.
type reader struct {
	header   map[string]int
	cfg      config.Config
	base     uint64
	rows     map[place]int
	findings []Finding

	row  int // of the current record
	cell []string
}

// Read returns the sheet in r. It fails with *InvalidError, which carries all
// findings together, or when r cannot be read.
func Read(r io.Reader) (*Sheet, error) {
	in := &reader{rows: make(map[place]int)}
	if err := in.records(io.LimitReader(r, maxBytes+1)); err != nil {
		return nil, err
	}
	in.validate()
	if len(in.findings) != 0 {
		slices.SortStableFunc(in.findings, func(a, b Finding) int { return cmp.Compare(a.Row, b.Row) })
		return nil, &InvalidError{Findings: in.findings}
	}
	config.Normalize(&in.cfg)
	return &Sheet{Config: &in.cfg, Base: in.base}, nil
}

func (in *reader) add(column, value, allowed string) {
	in.findings = append(in.findings, Finding{Row: in.row, Column: column, Value: value, Allowed: allowed})
}

// records reads the header and the rows.
func (in *reader) records(r io.Reader) error {
	buffered := bufio.NewReader(r)
	if mark, _ := buffered.Peek(3); string(mark) == "\xef\xbb\xbf" {
		_, _ = buffered.Discard(len(mark))
	}
	source := csv.NewReader(buffered)
	source.FieldsPerRecord = -1
	for {
		record, err := source.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var syntax *csv.ParseError
		if errors.As(err, &syntax) {
			in.row = syntax.Line
			in.add("", syntax.Err.Error(), "CSV as in RFC 4180")
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "sheet: read")
		}
		in.row, _ = source.FieldPos(0)
		in.record(record)
	}
	if source.InputOffset() > maxBytes {
		in.add("", strconv.FormatInt(source.InputOffset(), 10), "at most "+strconv.Itoa(maxBytes)+" bytes")
	}
	if in.header == nil {
		in.row = 1
		in.add("", "", "a header row with the names of the columns")
	}
	return nil
}

func (in *reader) record(record []string) {
	for i := range record {
		record[i] = strings.TrimSpace(record[i])
	}
	if strings.Join(record, "") == "" {
		return
	}
	if in.header == nil {
		in.readHeader(record)
		return
	}
	in.cell = record
	in.readRow()
}

func (in *reader) readHeader(record []string) {
	in.header = make(map[string]int, len(record))
	for i, name := range record {
		if _, twice := in.header[name]; twice {
			in.add(name, name, "each column once")
		}
		if name != "" && !slices.Contains(columns, name) {
			in.add(name, name, "one of "+strings.Join(columns, ", "))
		}
		in.header[name] = i
	}
	if _, ok := in.header[colKind]; !ok {
		in.add(colKind, "", "a column "+colKind)
	}
}

// get returns the cell of a column; empty if the file has no such column.
func (in *reader) get(column string) string {
	i, ok := in.header[column]
	if !ok || i >= len(in.cell) {
		return ""
	}
	return in.cell[i]
}

func (in *reader) readRow() {
	kind := in.get(colKind)
	allowed, ok := columnsOf[kind]
	if !ok {
		in.add(colKind, kind, "customer, service, rule or base")
		return
	}
	for i, value := range in.cell {
		if value != "" && i >= len(in.header) {
			in.add("", value, "no cells beyond the columns of the header")
		}
	}
	for column := range in.header {
		if value := in.get(column); value != "" && !slices.Contains(allowed, column) {
			in.add(column, value, "empty in a row of kind "+kind)
		}
	}
	switch kind {
	case kindBase:
		in.readBase()
	case kindCustomer:
		in.readCustomer()
	case kindService:
		in.readService()
	case kindRule:
		in.readRule()
	}
}

func (in *reader) readBase() {
	version, err := strconv.ParseUint(in.get(colID), 10, 64)
	if err != nil || version == 0 || in.base != 0 {
		in.add(colID, in.get(colID), "the version that the sheet was exported from, once")
	}
	in.base = version
}

func (in *reader) readCustomer() {
	in.rows[place{"customers", len(in.cfg.Customers)}] = in.row
	in.cfg.Customers = append(in.cfg.Customers, config.Customer{
		ID:          in.get(colID),
		KeyHashes:   in.list(colKeyHashes),
		Weight:      in.number(colWeight, 1),
		MaxInFlight: in.number(colMaxInFlight, 0),
		MaxQueued:   in.number(colMaxQueued, 0),
	})
}

func (in *reader) readService() {
	in.rows[place{"services", len(in.cfg.Services)}] = in.row
	in.cfg.Services = append(in.cfg.Services, config.Service{
		ID:             in.get(colID),
		Kind:           config.Kind(in.get(colServiceKind)),
		LoadMultiple:   in.decimal(colLoadMultiple),
		Models:         in.list(colModels),
		Idempotent:     in.calls(colIdempotent),
		Resumes:        in.yes(colResumes),
		ChecksFencing:  in.yes(colChecksFencing),
		TimeoutSeconds: in.number(colTimeoutSeconds, 0),
	})
}

func (in *reader) readRule() {
	in.rows[place{"rules", len(in.cfg.Rules)}] = in.row
	in.cfg.Rules = append(in.cfg.Rules, config.Rule{
		Customer:      in.get(colCustomer),
		Service:       in.get(colService),
		Host:          in.get(colHost),
		FailureDomain: in.get(colFailureDomain),
		Priority:      in.number(colPriority, 0),
	})
}

func (in *reader) list(column string) []string {
	values := []string{}
	for value := range strings.SplitSeq(in.get(column), separator) {
		if value = strings.TrimSpace(value); value != "" {
			values = append(values, value)
		}
	}
	return values
}

func (in *reader) calls(column string) []config.Call {
	calls := []config.Call{}
	for _, value := range in.list(column) {
		method, path, _ := strings.Cut(value, " ")
		calls = append(calls, config.Call{Method: method, PathPrefix: strings.TrimSpace(path)})
	}
	return calls
}

func (in *reader) number(column string, empty int) int {
	value := in.get(column)
	if value == "" {
		return empty
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		in.add(column, value, "a whole number in digits")
		return empty
	}
	return n
}

func (in *reader) decimal(column string) float64 {
	value := in.get(column)
	f, err := strconv.ParseFloat(value, 64)
	if err != nil {
		in.add(column, value, "a number such as 1.25")
	}
	return f
}

func (in *reader) yes(column string) bool {
	switch value := in.get(column); value {
	case "yes":
		return true
	case "", "no":
	default:
		in.add(column, value, "yes, no or empty")
	}
	return false
}

// configPlace matches the place of a finding of package config.
var configPlace = regexp.MustCompile(`^(customers|services|rules)\[(\d+)\](?:\.([a-z_]+))?`)

// validate adds the findings of package config, except on cells that have one.
func (in *reader) validate() {
	unread := in.findings
	for _, f := range config.Validate(&in.cfg) {
		m := configPlace.FindStringSubmatch(f.Place)
		if m == nil {
			in.row = 0
			in.add("", f.Value, f.Allowed)
			continue
		}
		index, _ := strconv.Atoi(m[2])
		in.row = in.rows[place{m[1], index}]
		column := m[3]
		if m[1] == "services" && column == "kind" {
			column = colServiceKind
		}
		if !in.reported(column, unread) {
			in.add(column, f.Value, f.Allowed)
		}
	}
}

// reported tells whether a cell of the current row is among unread.
func (in *reader) reported(column string, unread []Finding) bool {
	return slices.ContainsFunc(unread, func(f Finding) bool { return f.Row == in.row && f.Column == column })
}
