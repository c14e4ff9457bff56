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

// maxBytes is the maximum size of a sheet.
const maxBytes = 16 << 20

// Sheet is a configuration that was read from a CSV file.
type Sheet struct {
	Config *config.Config // without version
	Base   uint64         // version that the sheet was exported from; 0 if the sheet has no base row
}

// listItem identifies an element of one of the lists of the configuration.
type listItem struct {
	list  string // customers, services or rules
	index int
}

// parser builds a configuration from the rows of a sheet and collects findings.
type parser struct {
	columnIndex map[string]int
	cfg         config.Config
	base        uint64
	lineOf      map[listItem]int
	findings    []Finding

	line  int // of the current record
	cells []string
}

// Read reads a sheet from r. If the sheet is invalid, it returns an
// *InvalidError with all findings; other errors mean that r could not be read.
func Read(r io.Reader) (*Sheet, error) {
	p := &parser{lineOf: make(map[listItem]int)}
	if err := p.readRecords(io.LimitReader(r, maxBytes+1)); err != nil {
		return nil, err
	}
	p.validate()
	if len(p.findings) != 0 {
		slices.SortStableFunc(p.findings, func(a, b Finding) int { return cmp.Compare(a.Row, b.Row) })
		return nil, &InvalidError{Findings: p.findings}
	}
	config.Normalize(&p.cfg)
	return &Sheet{Config: &p.cfg, Base: p.base}, nil
}

func (p *parser) addFinding(column, value, allowed string) {
	p.findings = append(p.findings, Finding{Row: p.line, Column: column, Value: value, Allowed: allowed})
}

// readRecords reads the header and all rows.
func (p *parser) readRecords(r io.Reader) error {
	buffered := bufio.NewReader(r)
	if byteOrderMark, _ := buffered.Peek(3); string(byteOrderMark) == "\xef\xbb\xbf" {
		_, _ = buffered.Discard(len(byteOrderMark))
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
			p.line = syntax.Line
			p.addFinding("", syntax.Err.Error(), "valid CSV as defined in RFC 4180")
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "sheet: read")
		}
		p.line, _ = source.FieldPos(0)
		p.readRecord(record)
	}
	if source.InputOffset() > maxBytes {
		p.addFinding("", strconv.FormatInt(source.InputOffset(), 10), "at most "+strconv.Itoa(maxBytes)+" bytes")
	}
	if p.columnIndex == nil {
		p.line = 1
		p.addFinding("", "", "a header row with the column names")
	}
	return nil
}

func (p *parser) readRecord(record []string) {
	for i := range record {
		record[i] = strings.TrimSpace(record[i])
	}
	if strings.Join(record, "") == "" {
		return
	}
	if p.columnIndex == nil {
		p.readHeader(record)
		return
	}
	p.cells = record
	p.readRow()
}

func (p *parser) readHeader(record []string) {
	p.columnIndex = make(map[string]int, len(record))
	for i, name := range record {
		if _, duplicate := p.columnIndex[name]; duplicate {
			p.addFinding(name, name, "each column only once")
		}
		if name != "" && !slices.Contains(columns, name) {
			p.addFinding(name, name, "one of "+strings.Join(columns, ", "))
		}
		p.columnIndex[name] = i
	}
	if _, ok := p.columnIndex[colKind]; !ok {
		p.addFinding(colKind, "", "a column "+colKind)
	}
}

// cellOf returns the cell of the current row in a column. It is empty if the
// file has no such column or the row is too short.
func (p *parser) cellOf(column string) string {
	i, ok := p.columnIndex[column]
	if !ok || i >= len(p.cells) {
		return ""
	}
	return p.cells[i]
}

func (p *parser) readRow() {
	kind := p.cellOf(colKind)
	allowed, ok := columnsOf[kind]
	if !ok {
		p.addFinding(colKind, kind, "customer, service, rule or base")
		return
	}
	for i, value := range p.cells {
		if value != "" && i >= len(p.columnIndex) {
			p.addFinding("", value, "no more cells than the header has columns")
		}
	}
	for column := range p.columnIndex {
		if value := p.cellOf(column); value != "" && !slices.Contains(allowed, column) {
			p.addFinding(column, value, "an empty cell in a row of kind "+kind)
		}
	}
	switch kind {
	case kindBase:
		p.readBase()
	case kindCustomer:
		p.readCustomer()
	case kindService:
		p.readService()
	case kindRule:
		p.readRule()
	}
}

func (p *parser) readBase() {
	version, err := strconv.ParseUint(p.cellOf(colID), 10, 64)
	if err != nil || version == 0 || p.base != 0 {
		p.addFinding(colID, p.cellOf(colID), "the version that the sheet was exported from, in only one row")
	}
	p.base = version
}

func (p *parser) readCustomer() {
	p.lineOf[listItem{"customers", len(p.cfg.Customers)}] = p.line
	p.cfg.Customers = append(p.cfg.Customers, config.Customer{
		ID:          p.cellOf(colID),
		KeyHashes:   p.listCell(colKeyHashes),
		Weight:      p.intCell(colWeight, 1),
		MaxInFlight: p.intCell(colMaxInFlight, 0),
		MaxQueued:   p.intCell(colMaxQueued, 0),
	})
}

func (p *parser) readService() {
	p.lineOf[listItem{"services", len(p.cfg.Services)}] = p.line
	p.cfg.Services = append(p.cfg.Services, config.Service{
		ID:             p.cellOf(colID),
		Kind:           config.Kind(p.cellOf(colServiceKind)),
		LoadMultiple:   p.floatCell(colLoadMultiple),
		Models:         p.listCell(colModels),
		Idempotent:     p.callsCell(colIdempotent),
		Resumes:        p.boolCell(colResumes),
		ChecksFencing:  p.boolCell(colChecksFencing),
		TimeoutSeconds: p.intCell(colTimeoutSeconds, 0),
	})
}

func (p *parser) readRule() {
	p.lineOf[listItem{"rules", len(p.cfg.Rules)}] = p.line
	p.cfg.Rules = append(p.cfg.Rules, config.Rule{
		Customer:      p.cellOf(colCustomer),
		Service:       p.cellOf(colService),
		Host:          p.cellOf(colHost),
		FailureDomain: p.cellOf(colFailureDomain),
		Priority:      p.intCell(colPriority, 0),
	})
}

func (p *parser) listCell(column string) []string {
	values := []string{}
	for value := range strings.SplitSeq(p.cellOf(column), listSeparator) {
		if value = strings.TrimSpace(value); value != "" {
			values = append(values, value)
		}
	}
	return values
}

func (p *parser) callsCell(column string) []config.Call {
	calls := []config.Call{}
	for _, value := range p.listCell(column) {
		method, path, _ := strings.Cut(value, " ")
		calls = append(calls, config.Call{Method: method, PathPrefix: strings.TrimSpace(path)})
	}
	return calls
}

func (p *parser) intCell(column string, defaultValue int) int {
	value := p.cellOf(column)
	if value == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		p.addFinding(column, value, "an integer in decimal digits")
		return defaultValue
	}
	return n
}

func (p *parser) floatCell(column string) float64 {
	value := p.cellOf(column)
	f, err := strconv.ParseFloat(value, 64)
	if err != nil {
		p.addFinding(column, value, "a number such as 1.25")
	}
	return f
}

func (p *parser) boolCell(column string) bool {
	switch value := p.cellOf(column); value {
	case "yes":
		return true
	case "", "no":
	default:
		p.addFinding(column, value, "yes, no or an empty cell")
	}
	return false
}

// findingPlace matches the Place of a config.Finding: list, index and, if the
// finding is on a single field, its name.
var findingPlace = regexp.MustCompile(`^(customers|services|rules)\[(\d+)\](?:\.([a-z_]+))?`)

// validate adds the findings of config.Validate, except for cells on which
// parsing has already reported a finding.
func (p *parser) validate() {
	parseFindings := p.findings
	for _, f := range config.Validate(&p.cfg) {
		m := findingPlace.FindStringSubmatch(f.Place)
		if m == nil {
			p.line = 0
			p.addFinding("", f.Value, f.Allowed)
			continue
		}
		index, _ := strconv.Atoi(m[2])
		p.line = p.lineOf[listItem{m[1], index}]
		column := m[3]
		if m[1] == "services" && column == "kind" {
			column = colServiceKind
		}
		if !p.hasFinding(column, parseFindings) {
			p.addFinding(column, f.Value, f.Allowed)
		}
	}
}

// hasFinding reports whether findings contains one on a column of the current
// row.
func (p *parser) hasFinding(column string, findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Row == p.line && f.Column == column })
}
