package settings

import (
	"fmt"
	"strings"
)

// ExitCode is the exit code of a process whose settings are invalid.
const ExitCode = 2

// Finding is one error in the settings.
type Finding struct {
	Flag     string // with its dashes
	Variable string // environment variable; empty where there is none
	Value    string // as given; never the value of a secret
	Message  string // what is allowed
}

// String returns the finding as one line.
func (f Finding) String() string {
	name := f.Flag
	if f.Variable != "" {
		name += " (" + f.Variable + ")"
	}
	return fmt.Sprintf("%s: %s: %s", name, f.Value, f.Message)
}

// Findings reports all errors in the settings together.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("settings: %d finding(s)", len(f)))
	for _, finding := range f {
		lines = append(lines, "  "+finding.String())
	}
	return strings.Join(lines, "\n")
}
