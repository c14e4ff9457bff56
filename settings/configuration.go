package settings

import (
	"crypto/tls"
	"time"

	"dandelionrill.example/fleet/link"
)

// The commands on the sheets (CSV files) and versions of the configuration.
const (
	CommandConfigCheck   Command = "config check"
	CommandConfigDiff    Command = "config diff"
	CommandConfigApply   Command = "config apply"
	CommandConfigShow    Command = "config show"
	CommandConfigHistory Command = "config history"
	CommandConfigUndo    Command = "config undo"
)

// Formats of the configuration that CommandConfigCheck reads.
const (
	InputSheet    = "sheet"    // of the fleet's own interface
	InputPlatform = "platform" // of routers on the users' platform
)

// Severities from which findings make CommandConfigCheck fail.
const (
	FailOnError   = "error"
	FailOnWarning = "warning"
)

// Configuration holds the settings of a command on sheets and versions. Fields
// that the command does not use are zero.
type Configuration struct {
	Action   Action
	Platform string // base URL of the platform's object API and host list
	File     string // file of the sheet; "-" means standard input
	Author   string
	Base     int64 // version that the sheet was made from; 0 means as the sheet says
	Revision int64 // version to show or to restore; 0 means the command's default
	Limit    int64
	Wait     time.Duration // how long to wait until all processes have adopted the version
	Format   string
	Input    string // format of the configuration that is checked
	InForce  string // file of the version in force; empty asks Platform
	FailOn   string // lowest severity of findings that make a check fail

	TLSFiles link.TLSFiles
	TLS      *tls.Config // of links to the processes
}

// ParseConfiguration reads the settings of a command on sheets and versions.
// The error is of type Findings.
func ParseConfiguration(command Command, args []string, getenv func(string) string) (*Configuration, error) {
	c := &Configuration{}
	s := c.settingSet(command)
	c.Action = s.load(args, getenv)
	if c.Action == ActionHelp || c.Action == ActionVersion {
		return c, nil
	}
	if c.Input == InputSheet {
		c.Platform = "" // the check of a sheet asks nobody
	}
	if s.find("tls-cert") != nil {
		config, err := c.TLSFiles.Load()
		if err != nil {
			s.addFinding("tls-cert", "PEM files that match each other: "+err.Error())
		}
		c.TLS = config
	}
	return c, s.err()
}

// ConfigurationHelp returns the help text of a command on sheets and versions.
func ConfigurationHelp(command Command) string {
	return (&Configuration{}).settingSet(command).help()
}

func (c *Configuration) settingSet(command Command) *settingSet {
	s := &settingSet{name: "dandelionrill " + string(command), summary: configurationSummaries[command], group: "Settings"}
	switch command {
	case CommandConfigCheck, CommandConfigDiff, CommandConfigApply:
		s.text(&c.File, "file", "-", "CSV file of the sheet; - means standard input")
	}
	if command == CommandConfigCheck {
		s.choice(&c.Input, "input", InputSheet, "what --file holds: a sheet, or a configuration of the users' platform (JSON; of a directory, all .json files)", []string{InputSheet, InputPlatform})
		s.text(&c.InForce, "in-force", "", "with --input platform: JSON file of the version in force; goes before --platform")
		s.optionalURL(&c.Platform, "platform", "with --input platform: the store that holds the version in force")
		s.choice(&c.Format, "format", FormatText, "with --input platform: form of the output", []string{FormatText, FormatJSON})
		s.choice(&c.FailOn, "fail-on", FailOnError, "with --input platform: lowest severity of findings that give exit code 1", []string{FailOnError, FailOnWarning})
	} else {
		s.baseURL(&c.Platform, "platform", "the platform's object API and host list")
	}
	switch command {
	case CommandConfigApply:
		s.number(&c.Base, "base", 0, 0, 1<<53, "versions", "version that the sheet was made from; 0 means as its base row says, else the current one")
		c.changeFlags(s)
	case CommandConfigUndo:
		s.number(&c.Revision, "revision", 0, 0, 1<<53, "versions", "version to go back to; 0 means the one before the current one")
		c.changeFlags(s)
	case CommandConfigShow:
		s.number(&c.Revision, "revision", 0, 0, 1<<53, "versions", "version to show; 0 means the current one")
		s.choice(&c.Format, "format", FormatText, "form of the output: a sheet or JSON", []string{FormatText, FormatJSON})
	case CommandConfigHistory:
		s.number(&c.Limit, "limit", 20, 1, 1000, "versions", "newest versions to show")
	}
	return s
}

// changeFlags adds the settings of the commands that change the configuration.
func (c *Configuration) changeFlags(s *settingSet) {
	s.identifier(&c.Author, "author", "operator", "who makes the change, for the history")
	s.duration(&c.Wait, "wait", time.Minute, 0, 24*time.Hour, "how long to wait until all processes have the version in force; 0s does not wait")
	s.text(&c.TLSFiles.Certificate, "tls-cert", "", "PEM certificate for links to the processes")
	s.text(&c.TLSFiles.Key, "tls-key", "", "PEM key of --tls-cert")
	s.text(&c.TLSFiles.CA, "tls-ca", "", "PEM certificates that sign the fleet's certificates")
	s.text(&c.TLSFiles.ServerName, "tls-server-name", link.DefaultServerName, "DNS name that the fleet's certificates carry")
}

var configurationSummaries = map[Command]string{
	CommandConfigCheck:   "Reports all findings on a sheet, with row and column, or on a configuration of the users' platform.",
	CommandConfigDiff:    "Shows what a sheet would change.",
	CommandConfigApply:   "Makes a sheet the next version and waits until all processes have it in force.",
	CommandConfigShow:    "Writes a version as a sheet or JSON.",
	CommandConfigHistory: "Lists the newest versions.",
	CommandConfigUndo:    "Makes an earlier version the next version and waits until all processes have it in force.",
}
