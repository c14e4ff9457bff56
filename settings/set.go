// Package settings reads the start-up settings of a process. A flag overrides its
// environment variable, which overrides the default. All settings are checked
// before anything starts, and all findings are reported together.
package settings

import (
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
)

// variablePrefix is the prefix of the environment variables that correspond to
// flags: --max-body-bytes is DANDELIONRILL_MAX_BODY_BYTES.
const variablePrefix = "DANDELIONRILL_"

// Action is what the process does with its settings.
type Action int

// The actions.
const (
	ActionRun     Action = iota
	ActionCheck          // check the settings, report the result and exit
	ActionHelp           // print the help text and exit
	ActionVersion        // print the version and exit
)

// setting is one setting of a process.
type setting struct {
	flag         string // without dashes
	usage        string
	unit         string
	defaultValue string
	secret       bool
	group        string
	parse        func(value string) error // stores the value, or returns an error that says what is allowed

	flagValue string // value of the flag, or unset
	isSet     bool   // whether a flag or variable gave it
	value     string // effective value: from the flag, the environment or the default
}

func (f *setting) variable() string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(f.flag, "-", "_"))
}

func (f *setting) displayValue() string {
	switch {
	case f.secret:
		return "(secret of " + strconv.Itoa(len(f.value)) + " bytes)"
	case f.value == "":
		return "(empty)"
	default:
		return strconv.Quote(f.value)
	}
}

// unset is the value of a flag that was not given. It contains a NUL byte, which
// an argument of a process cannot contain.
const unset = "\x00"

// Names of the flags that select an action.
const (
	flagCheck   = "check"
	flagHelp    = "help"
	flagVersion = "version"
)

// settingSet is the table of settings of one process or command.
type settingSet struct {
	name     string
	summary  string
	settings []*setting
	findings Findings
	group    string
}

func (s *settingSet) add(f setting) *setting {
	f.group = s.group
	s.settings = append(s.settings, &f)
	return &f
}

func (s *settingSet) find(flag string) *setting {
	for _, f := range s.settings {
		if f.flag == flag {
			return f
		}
	}
	return nil
}

// addFinding adds a finding about the value of a setting.
func (s *settingSet) addFinding(flag, message string) {
	f := s.find(flag)
	s.findings = append(s.findings, Finding{Flag: "--" + flag, Variable: f.variable(), Value: f.displayValue(), Message: message})
}

func (s *settingSet) addArgumentFinding(argument, message string) {
	s.findings = append(s.findings, Finding{Flag: argument, Value: "given", Message: message})
}

// load sets every setting from args, else from the environment, else from its
// default, and returns the action.
func (s *settingSet) load(args []string, getenv func(string) string) Action {
	if getenv == nil {
		getenv = os.Getenv
	}
	action := s.parseArguments(s.filterArguments(args))
	if action == ActionHelp || action == ActionVersion {
		return action
	}
	for _, f := range s.settings {
		value := f.flagValue
		if value == unset {
			value = getenv(f.variable())
			f.isSet = value != ""
		} else {
			f.isSet = true
		}
		if !f.isSet {
			value = f.defaultValue
		}
		f.value = value
		if err := f.parse(value); err != nil {
			s.addFinding(f.flag, err.Error())
		}
	}
	return action
}

// filterArguments removes and reports the arguments that would make the flag
// library exit the process or that it would silently ignore. It joins each
// remaining flag and its value into one argument.
func (s *settingSet) filterArguments(args []string) []string {
	var kept []string
	for i := 0; i < len(args); i++ {
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		isFlag := strings.HasPrefix(args[i], "-")
		switch {
		case isFlag && (name == flagCheck || name == flagHelp || name == "h" || name == flagVersion):
			kept = append(kept, args[i])
		case !isFlag:
			s.addArgumentFinding(args[i], "not a flag; see --help")
		case s.find(name) == nil:
			s.addArgumentFinding("--"+name, "unknown flag; see --help")
		case hasValue:
			kept = append(kept, args[i])
		case i+1 == len(args):
			s.addArgumentFinding("--"+name, "needs a value")
		default:
			kept = append(kept, args[i]+"="+args[i+1])
			i++
		}
	}
	return kept
}

func (s *settingSet) parseArguments(args []string) Action {
	parser := flaggy.NewParser(s.name)
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	for _, f := range s.settings {
		f.flagValue = unset
		parser.String(&f.flagValue, "", f.flag, f.usage)
	}
	var check, help, version bool
	parser.Bool(&check, "", flagCheck, "")
	parser.Bool(&help, "h", flagHelp, "")
	parser.Bool(&version, "", flagVersion, "")
	if err := parser.ParseArgs(args); err != nil {
		s.addArgumentFinding("arguments", err.Error())
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

func (s *settingSet) err() error {
	if len(s.findings) == 0 {
		return nil
	}
	return s.findings
}
