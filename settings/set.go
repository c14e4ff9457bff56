// Package settings reads the start-up settings of a process: flags, over
// environment variables, over defaults. All of them are checked before
// anything starts, and all findings are reported together.
package settings

import (
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
)

// variablePrefix makes the environment variable of a flag:
// --max-body-bytes is DANDELIONRILL_MAX_BODY_BYTES.
const variablePrefix = "DANDELIONRILL_"

// Action says what the process does with its settings.
type Action int

// The actions.
const (
	ActionRun     Action = iota
	ActionCheck          // report that the settings are sound, and stop
	ActionHelp           // print Help, and stop
	ActionVersion        // print the version, and stop
)

// field is one setting.
type field struct {
	flag   string // without dashes
	usage  string
	unit   string
	def    string
	secret bool
	group  string
	parse  func(value string) error // stores the value, or says what is allowed

	given  string // by flag
	isSet  bool   // whether a flag or variable gave it
	actual string
}

func (f *field) variable() string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(f.flag, "-", "_"))
}

func (f *field) shown() string {
	switch {
	case f.secret:
		return "(secret of " + strconv.Itoa(len(f.actual)) + " bytes)"
	case f.actual == "":
		return "(empty)"
	default:
		return strconv.Quote(f.actual)
	}
}

// unset is the value of a flag that was not given. It holds a NUL byte, which
// no argument of a process can.
const unset = "\x00"

// Names of the flags that stand for an action.
const (
	flagCheck   = "check"
	flagHelp    = "help"
	flagVersion = "version"
)

// set is the table of settings of one process.
type set struct {
	name     string
	summary  string
	fields   []*field
	findings Findings
	group    string
}

func (s *set) add(f field) *field {
	f.group = s.group
	s.fields = append(s.fields, &f)
	return &f
}

func (s *set) find(flag string) *field {
	for _, f := range s.fields {
		if f.flag == flag {
			return f
		}
	}
	return nil
}

// report adds a finding about a setting.
func (s *set) report(flag, message string) {
	f := s.find(flag)
	s.findings = append(s.findings, Finding{Flag: "--" + flag, Variable: f.variable(), Value: f.shown(), Message: message})
}

func (s *set) reportArgument(argument, message string) {
	s.findings = append(s.findings, Finding{Flag: argument, Value: "given", Message: message})
}

// load fills every field from args, then the environment, then its default.
func (s *set) load(args []string, getenv func(string) string) Action {
	if getenv == nil {
		getenv = os.Getenv
	}
	action := s.parseArguments(s.screen(args))
	if action == ActionHelp || action == ActionVersion {
		return action
	}
	for _, f := range s.fields {
		value := f.given
		if value == unset {
			value = getenv(f.variable())
			f.isSet = value != ""
		} else {
			f.isSet = true
		}
		if !f.isSet {
			value = f.def
		}
		f.actual = value
		if err := f.parse(value); err != nil {
			s.report(f.flag, err.Error())
		}
	}
	return action
}

// screen takes out what the flag library would end the process for or drop
// without a word, and reports it.
func (s *set) screen(args []string) []string {
	var known []string
	for i := 0; i < len(args); i++ {
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		isFlag := strings.HasPrefix(args[i], "-")
		switch {
		case isFlag && (name == flagCheck || name == flagHelp || name == "h" || name == flagVersion):
			known = append(known, args[i])
		case !isFlag:
			s.reportArgument(args[i], "not a flag; see --help")
		case s.find(name) == nil:
			s.reportArgument("--"+name, "no such flag; see --help")
		case hasValue:
			known = append(known, args[i])
		case i+1 == len(args):
			s.reportArgument("--"+name, "needs a value")
		default:
			known = append(known, args[i]+"="+args[i+1])
			i++
		}
	}
	return known
}

func (s *set) parseArguments(args []string) Action {
	parser := flaggy.NewParser(s.name)
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	for _, f := range s.fields {
		f.given = unset
		parser.String(&f.given, "", f.flag, f.usage)
	}
	var check, help, version bool
	parser.Bool(&check, "", flagCheck, "")
	parser.Bool(&help, "h", flagHelp, "")
	parser.Bool(&version, "", flagVersion, "")
	if err := parser.ParseArgs(args); err != nil {
		s.reportArgument("arguments", err.Error())
	}
	switch {
	case help:
		return ActionHelp
	case version:
		return ActionVersion
	case check:
		return ActionCheck
	default:
		return ActionRun
	}
}

func (s *set) err() error {
	if len(s.findings) == 0 {
		return nil
	}
	return s.findings
}
