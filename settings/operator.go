package settings

import (
	"crypto/tls"
	"strings"
	"time"

	"dandelionrill.example/fleet/link"
)

// Output formats of the operator commands.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Command is the name of an operator command.
type Command string

// The commands.
const (
	CommandStatus    Command = "status"
	CommandDrain     Command = "drain"
	CommandTimeline  Command = "timeline"
	CommandConfigGet Command = "config get"
	CommandConfigPut Command = "config put"
)

// Operator holds the settings of an operator command. Fields that the command
// does not use are zero.
type Operator struct {
	Action     Action
	Admin      string   // admin address of the process that the command calls
	Sources    []string // admin addresses of the processes whose timelines are merged
	Platform   string   // base URL of the platform; its host list takes the place of Sources
	AdminToken string
	AdminTLS   bool          // use HTTPS for admin listeners
	Timeout    time.Duration // longest wait for one process
	Format     string

	TLSFiles link.TLSFiles
	TLS      *tls.Config // of links to the processes in the host list

	Request  string // filters of timeline events
	Upstream string
	Customer string
	Kind     string
	Limit    int64

	Wait time.Duration // how long to wait for a drain to end
	File string        // file of the configuration; "-" means standard input or output
	Base int64         // version that a configuration was edited from; -1 means the one in the file
}

// ParseOperator reads the settings of an operator command. The error is of type
// Findings.
func ParseOperator(command Command, args []string, getenv func(string) string) (*Operator, error) {
	o := &Operator{}
	var sources, scheme string
	s := o.settingSet(command, &sources, &scheme)
	o.Action = s.load(args, getenv)
	if o.Action == ActionHelp || o.Action == ActionVersion {
		return o, nil
	}
	o.AdminTLS = scheme == "https"
	o.checkSources(s, command, sources)
	return o, s.err()
}

// OperatorHelp returns the help text of an operator command.
func OperatorHelp(command Command) string {
	var sources, scheme string
	return (&Operator{}).settingSet(command, &sources, &scheme).help()
}

func (o *Operator) settingSet(command Command, sources, scheme *string) *settingSet {
	s := &settingSet{name: "dandelionrill " + string(command), summary: operatorSummaries[command], group: "Settings"}
	if command == CommandTimeline {
		s.text(sources, "sources", "", "admin addresses of the processes to ask, separated by commas; or --platform")
		s.optionalURL(&o.Platform, "platform", "the platform whose host list names the processes to ask")
		s.text(&o.TLSFiles.Certificate, "tls-cert", "", "with --platform: PEM certificate for links to the processes")
		s.text(&o.TLSFiles.Key, "tls-key", "", "PEM key of --tls-cert")
		s.text(&o.TLSFiles.CA, "tls-ca", "", "PEM certificates that sign the fleet's certificates")
		s.text(&o.TLSFiles.ServerName, "tls-server-name", link.DefaultServerName, "DNS name that the fleet's certificates carry")
		s.text(&o.Request, "request", "", "only events of this request")
		s.text(&o.Upstream, "upstream", "", "only events of this upstream")
		s.text(&o.Customer, "customer", "", "only events of this customer")
		s.text(&o.Kind, "kind", "", "only events of this kind")
		s.number(&o.Limit, "limit", 0, 0, 1<<30, "events", "newest events to show; 0 means all")
	} else {
		s.address(&o.Admin, "admin", "127.0.0.1:8081", "admin address of the process", false)
	}
	s.secret(&o.AdminToken, "admin-token", minAdminTokenBytes, "token of the admin listeners")
	s.choice(scheme, "admin-scheme", "http", "protocol of the admin listeners", []string{"http", "https"})
	s.duration(&o.Timeout, "timeout", 10*time.Second, time.Millisecond, time.Hour, "longest wait for one process")
	s.choice(&o.Format, "format", FormatText, "form of the output", []string{FormatText, FormatJSON})
	switch command {
	case CommandDrain:
		s.duration(&o.Wait, "wait", 0, 0, 24*time.Hour, "how long to wait for the requests in progress to end; 0s does not wait")
	case CommandConfigGet, CommandConfigPut:
		s.text(&o.File, "file", "-", "JSON file of the configuration; - means standard input or output")
	}
	if command == CommandConfigPut {
		s.number(&o.Base, "base", -1, -1, 1<<53, "versions", "version that was edited; -1 means the version in the file, 0 that there is none yet")
	}
	return s
}

var operatorSummaries = map[Command]string{
	CommandStatus:    "Shows the state of a process: configuration in force, members, drain.",
	CommandDrain:     "Begins the planned stop of a process: it takes no new work and lets work in progress end.",
	CommandTimeline:  "Merges the recent events of processes in causal order.",
	CommandConfigGet: "Writes the newest configuration as JSON.",
	CommandConfigPut: "Publishes a configuration from JSON. An edit of an older version than the newest is refused.",
}

func (o *Operator) checkSources(s *settingSet, command Command, sources string) {
	if command != CommandTimeline {
		return
	}
	for _, source := range strings.FieldsFunc(sources, func(r rune) bool { return r == ',' || r == ' ' }) {
		if !isAddress(source) {
			s.addFinding("sources", "IP addresses and ports separated by commas, for example 127.0.0.1:8081,127.0.0.1:8091")
			break
		}
		o.Sources = append(o.Sources, source)
	}
	if (sources == "") == (o.Platform == "") {
		s.addFinding("sources", "either --sources or --platform, not both")
	}
	config, err := o.TLSFiles.Load()
	if err != nil {
		s.addFinding("tls-cert", "PEM files that match each other: "+err.Error())
	}
	o.TLS = config
}
