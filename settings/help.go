package settings

import (
	"fmt"
	"strings"
)

// help returns the help text: every setting with its unit, default and
// environment variable.
func (s *settingSet) help() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: %s [flags]\n\n%s\n", s.name, s.summary)
	b.WriteString("\nA flag goes before its environment variable, and that before the default.\n")
	group := ""
	for _, f := range s.settings {
		if f.group != group {
			group = f.group
			fmt.Fprintf(&b, "\n%s:\n", group)
		}
		b.WriteString(f.helpText())
	}
	b.WriteString("\nActions:\n")
	b.WriteString("  --check    check the settings and stop: exit code 0, or 2 with all findings\n")
	b.WriteString("  --version  print the version\n")
	b.WriteString("  --help     print this text\n")
	return b.String()
}

func (f *setting) helpText() string {
	unit := f.unit
	if unit == "" {
		unit = "text"
	}
	defaultText := f.defaultValue
	if defaultText == "" {
		defaultText = "none"
	}
	return fmt.Sprintf("  --%s <%s>\n      %s\n      default %s, variable %s\n", f.flag, unit, f.usage, defaultText, f.variable())
}

// Row is one setting as the documentation lists it.
type Row struct{ Flag, Variable, Unit, Default, Usage string }

// RouterRows returns the settings of the router.
func RouterRows() []Row { return (&Router{}).settingSet().rows() }

// AgentRows returns the settings of the agent.
func AgentRows() []Row { return (&Agent{}).settingSet().rows() }

func (s *settingSet) rows() []Row {
	rows := make([]Row, 0, len(s.settings))
	for _, f := range s.settings {
		rows = append(rows, Row{Flag: "--" + f.flag, Variable: f.variable(), Unit: f.unit, Default: f.defaultValue, Usage: f.usage})
	}
	return rows
}
