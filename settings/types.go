package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Minimum lengths of secrets.
const (
	minTicketKeyBytes  = 32
	minAdminTokenBytes = 16
)

// maxNameBytes limits the length of names, which are part of every message.
const maxNameBytes = 128

func (s *settingSet) identifier(target *string, flag, defaultValue, usage string) {
	s.add(setting{flag: flag, usage: usage, defaultValue: defaultValue, parse: func(v string) error {
		*target = v
		if v == "" || len(v) > maxNameBytes || strings.ContainsFunc(v, isInvalidNameRune) {
			return errors.Newf("1 to %d letters, digits, '.', '_' or '-'", maxNameBytes)
		}
		return nil
	}})
}

func isInvalidNameRune(r rune) bool {
	isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	return !isLetter && (r < '0' || r > '9') && !strings.ContainsRune("._-", r)
}

func (s *settingSet) text(target *string, flag, defaultValue, usage string) {
	s.add(setting{flag: flag, usage: usage, defaultValue: defaultValue, parse: func(v string) error {
		*target = v
		return nil
	}})
}

func (s *settingSet) choice(target *string, flag, defaultValue, usage string, allowed []string) {
	s.add(setting{flag: flag, usage: usage, defaultValue: defaultValue, parse: func(v string) error {
		*target = v
		if !slices.Contains(allowed, v) {
			return errors.Newf("one of %s", strings.Join(allowed, ", "))
		}
		return nil
	}})
}

// address adds the setting of a listen or peer address. A setting with an empty
// default is required unless optional is true.
func (s *settingSet) address(target *string, flag, defaultValue, usage string, optional bool) {
	s.add(setting{flag: flag, usage: usage, defaultValue: defaultValue, unit: "IP:port", parse: func(v string) error {
		*target = v
		if v == "" && optional {
			return nil
		}
		if !isAddress(v) {
			return errors.New("an IP address and a port, for example 127.0.0.1:8080")
		}
		return nil
	}})
}

func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || (host != "localhost" && net.ParseIP(host) == nil) {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func (s *settingSet) baseURL(target *string, flag, usage string) {
	s.url(target, flag, usage, false)
}

func (s *settingSet) optionalURL(target *string, flag, usage string) {
	s.url(target, flag, usage, true)
}

func (s *settingSet) url(target *string, flag, usage string, optional bool) {
	s.add(setting{flag: flag, usage: usage, unit: "URL", parse: func(v string) error {
		if v == "" && optional {
			return nil
		}
		*target = strings.TrimRight(v, "/")
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
			return errors.New("an http or https URL with only scheme, host and path, for example http://127.0.0.1:9000")
		}
		return nil
	}})
}

func (s *settingSet) number(target *int64, flag string, defaultValue, low, high int64, unit, usage string) {
	s.add(setting{flag: flag, usage: usage, unit: unit, defaultValue: strconv.FormatInt(defaultValue, 10), parse: func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < low || n > high {
			return errors.Newf("a whole number of %s from %d to %d", unit, low, high)
		}
		*target = n
		return nil
	}})
}

func (s *settingSet) duration(target *time.Duration, flag string, defaultValue, low, high time.Duration, usage string) {
	s.add(setting{flag: flag, usage: usage, unit: "duration", defaultValue: defaultValue.String(), parse: func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return errors.Newf("a duration with a unit, from %s to %s, for example 500ms or 1m30s", low, high)
		}
		*target = d
		return nil
	}})
}

// secret adds two settings: one for the secret itself and one for the file that
// contains it. Exactly one of them must be given. The file's setting is added
// second, because load parses settings in the order in which they were added, and
// readSecret must know whether the secret itself was given.
func (s *settingSet) secret(target *string, flag string, minBytes int, usage string) {
	var path string
	s.add(setting{flag: flag, usage: usage, unit: fmt.Sprintf("at least %d bytes", minBytes), secret: true, parse: func(v string) error {
		*target = v
		if v != "" && len(v) < minBytes {
			return errors.Newf("at least %d bytes", minBytes)
		}
		return nil
	}})
	s.add(setting{flag: flag + "-file", usage: "file that holds the value of --" + flag, unit: "path", parse: func(v string) error {
		path = v
		return s.readSecret(target, flag, path, minBytes)
	}})
}

func (s *settingSet) readSecret(target *string, flag, path string, minBytes int) error {
	givenDirectly := s.find(flag).isSet
	switch {
	case path == "" && givenDirectly:
		return nil
	case path == "":
		return errors.Newf("this or --%s is required", flag)
	case givenDirectly:
		return errors.Newf("only one of this and --%s", flag)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Newf("a readable file: %v", err)
	}
	*target = strings.TrimRight(string(data), "\r\n")
	if len(*target) < minBytes {
		return errors.Newf("a file of at least %d bytes, not counting the line end", minBytes)
	}
	return nil
}
