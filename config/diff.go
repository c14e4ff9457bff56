package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two configurations.
type Change struct {
	Op    string // "+" for an added row, "-" for a removed one, "~" for a changed field
	Row   string // kind and ID, such as "customer rice"; for a rule, its fields
	Field string // JSON name of the changed field; empty if a row was added or removed
	Old   string
	New   string
}

// String formats the change as one line of text.
func (c Change) String() string {
	if c.Field == "" {
		return c.Op + " " + c.Row + " " + c.Old + c.New
	}
	return fmt.Sprintf("%s %s: %s: %s -> %s", c.Op, c.Row, c.Field, c.Old, c.New)
}

// Diff returns the differences from old to next, by row and field. It ignores
// the version, the change ID and the author.
func Diff(old, next *Config) []Change {
	changes := diffRows(old.Customers, next.Customers, func(c Customer) string { return "customer " + c.ID })
	changes = append(changes, diffRows(old.Services, next.Services, func(s Service) string { return "service " + s.ID })...)
	return append(changes, diffRows(old.Rules, next.Rules, func(r Rule) string {
		return "rule " + strings.Join([]string{r.Customer, r.Service, r.Host, r.FailureDomain}, ",")
	})...)
}

func diffRows[T any](old, next []T, name func(T) string) []Change {
	oldByName := make(map[string]T, len(old))
	for _, row := range old {
		oldByName[name(row)] = row
	}
	changed, removed := changedRows(old, next, name)
	var changes []Change
	for _, row := range changed {
		oldRow, ok := oldByName[name(row)]
		if !ok {
			changes = append(changes, Change{Op: "+", Row: name(row), New: formatRow(row)})
			continue
		}
		changes = append(changes, diffFields(name(row), oldRow, row)...)
	}
	for _, removedName := range removed {
		changes = append(changes, Change{Op: "-", Row: removedName, Old: formatRow(oldByName[removedName])})
	}
	return changes
}

func diffFields[T any](row string, old, next T) []Change {
	var changes []Change
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			changes = append(changes, Change{
				Op: "~", Row: row, Field: fieldName(a.Type().Field(i)),
				Old: fmt.Sprint(a.Field(i).Interface()), New: fmt.Sprint(b.Field(i).Interface()),
			})
		}
	}
	return changes
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// formatRow formats the fields of a row that are not zero.
func formatRow(row any) string {
	v := reflect.ValueOf(row)
	var parts []string
	for i := range v.NumField() {
		if !v.Field(i).IsZero() {
			parts = append(parts, fieldName(v.Type().Field(i))+"="+fmt.Sprint(v.Field(i).Interface()))
		}
	}
	return strings.Join(parts, " ")
}
