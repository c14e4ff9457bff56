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

// Smallest secrets.
const (
	minTicketKeyBytes  = 32
	minAdminTokenBytes = 16
)

// maxNameBytes bounds names that travel with every message.
const maxNameBytes = 128

func (s *set) name128(target *string, flag, def, usage string) {
	s.add(field{flag: flag, usage: usage, def: def, parse: func(v string) error {
		*target = v
		if v == "" || len(v) > maxNameBytes || strings.ContainsFunc(v, notInName) {
			return errors.Newf("1 to %d letters, digits, '.', '_' or '-'", maxNameBytes)
		}
		return nil
	}})
}

func notInName(r rune) bool {
	isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	return !isLetter && (r < '0' || r > '9') && !strings.ContainsRune("._-", r)
}

func (s *set) text(target *string, flag, def, usage string) {
	s.add(field{flag: flag, usage: usage, def: def, parse: func(v string) error {
		*target = v
		return nil
	}})
}

func (s *set) choice(target *string, flag, def, usage string, allowed []string) {
	s.add(field{flag: flag, usage: usage, def: def, parse: func(v string) error {
		*target = v
		if !slices.Contains(allowed, v) {
			return errors.Newf("one of %s", strings.Join(allowed, ", "))
		}
		return nil
	}})
}

// address is a listening or peer address. An empty default makes it required,
// unless optional is set.
func (s *set) address(target *string, flag, def, usage string, optional bool) {
	s.add(field{flag: flag, usage: usage, def: def, unit: "IP:port", parse: func(v string) error {
		*target = v
		if v == "" && optional {
			return nil
		}
		if !isAddress(v) {
			return errors.New("an IP number and a port, as 127.0.0.1:8080")
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

func (s *set) baseURL(target *string, flag, usage string) {
	s.url(target, flag, usage, false)
}

func (s *set) optionalURL(target *string, flag, usage string) {
	s.url(target, flag, usage, true)
}

func (s *set) url(target *string, flag, usage string, optional bool) {
	s.add(field{flag: flag, usage: usage, unit: "URL", parse: func(v string) error {
		if v == "" && optional {
			return nil
		}
		*target = strings.TrimRight(v, "/")
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
			return errors.New("an http or https URL of scheme, host and path, as http://127.0.0.1:9000")
		}
		return nil
	}})
}

func (s *set) number(target *int64, flag string, def, low, high int64, unit, usage string) {
	s.add(field{flag: flag, usage: usage, unit: unit, def: strconv.FormatInt(def, 10), parse: func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < low || n > high {
			return errors.Newf("a whole number of %s from %d to %d", unit, low, high)
		}
		*target = n
		return nil
	}})
}

func (s *set) duration(target *time.Duration, flag string, def, low, high time.Duration, usage string) {
	s.add(field{flag: flag, usage: usage, unit: "duration", def: def.String(), parse: func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return errors.Newf("a duration with its unit from %s to %s, as 500ms or 1m30s", low, high)
		}
		*target = d
		return nil
	}})
}

// secret adds two settings, for the secret itself and for the file that holds
// it, of which one must be given.
func (s *set) secret(target *string, flag string, minBytes int, usage string) {
	var path string
	s.add(field{flag: flag, usage: usage, unit: fmt.Sprintf("at least %d bytes", minBytes), secret: true, parse: func(v string) error {
		*target = v
		if v != "" && len(v) < minBytes {
			return errors.Newf("at least %d bytes", minBytes)
		}
		return nil
	}})
	s.add(field{flag: flag + "-file", usage: "file that holds the value of --" + flag, unit: "path", parse: func(v string) error {
		path = v
		return s.readSecret(target, flag, path, minBytes)
	}})
}

func (s *set) readSecret(target *string, flag, path string, minBytes int) error {
	direct := s.find(flag).isSet
	switch {
	case path == "" && direct:
		return nil
	case path == "":
		return errors.Newf("this or --%s is required", flag)
	case direct:
		return errors.Newf("only one of this and --%s", flag)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Newf("a file that can be read: %v", err)
	}
	*target = strings.TrimRight(string(data), "\r\n")
	if len(*target) < minBytes {
		return errors.Newf("a file of at least %d bytes, not counting the line end", minBytes)
	}
	return nil
}
