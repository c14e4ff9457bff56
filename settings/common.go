package settings

import (
	"crypto/tls"
	"time"

	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/logging"
	"dandelionrill.example/fleet/timeline"
)

// Common holds the settings that routers and agents share.
type Common struct {
	Action Action

	Host          string // name of this host in the host list
	FailureDomain string
	Platform      string // base URL of the platform's object API and host list
	Advertise     string // address at which other processes reach this one
	AdminListen   string
	AdminToken    string
	TicketKey     string // key that signs tickets; the same on all hosts
	DrainTimeout  time.Duration
	LogLevel      string

	TLSFiles          link.TLSFiles
	TLS               *tls.Config // of links between processes; nil means unencrypted links, on loopback only
	HTTPCert          string      // certificate file of the HTTP listeners; empty means plain HTTP
	HTTPKey           string
	DialTimeout       time.Duration
	HeartbeatInterval time.Duration // time between heartbeats on a link
	HeartbeatTimeout  time.Duration // silence after which a link is closed
	MaxConnections    int64
	RequestEvents     int64 // request events kept in the timeline
	StateEvents       int64 // state change events kept in the timeline
}

func (c *Common) identityFlags(s *settingSet) {
	s.group = "Identity"
	s.identifier(&c.Host, "host", "", "name of this host, as in the platform's host list")
	s.identifier(&c.FailureDomain, "failure-domain", "", "failure domain of this host")
	s.baseURL(&c.Platform, "platform", "the platform's object API and host list")
}

func (c *Common) processFlags(s *settingSet) {
	s.group = "Secrets"
	s.secret(&c.TicketKey, "ticket-key", minTicketKeyBytes, "key that signs tickets, the same on all hosts")
	s.secret(&c.AdminToken, "admin-token", minAdminTokenBytes, "token of the admin listener")

	s.group = "Links between processes"
	s.address(&c.Advertise, "advertise", "", "address under which other processes reach this one; empty means the one listened on", true)
	s.text(&c.TLSFiles.Certificate, "tls-cert", "", "PEM certificate of this process; with --tls-key and --tls-ca, or none for plain links on loopback")
	s.text(&c.TLSFiles.Key, "tls-key", "", "PEM key of --tls-cert")
	s.text(&c.TLSFiles.CA, "tls-ca", "", "PEM certificates that sign the fleet's certificates")
	s.text(&c.TLSFiles.ServerName, "tls-server-name", link.DefaultServerName, "DNS name that the fleet's certificates carry")
	s.duration(&c.DialTimeout, "dial-timeout", link.DefaultDialTimeout, 10*time.Millisecond, time.Minute, "longest time to open a link")
	s.duration(&c.HeartbeatInterval, "heartbeat-interval", link.DefaultHeartbeatInterval, 10*time.Millisecond, time.Minute, "time between heartbeats while calls wait on a quiet link")
	s.duration(&c.HeartbeatTimeout, "heartbeat-timeout", link.DefaultHeartbeatTimeout, 20*time.Millisecond, 5*time.Minute, "silence after which a link with waiting calls is closed; at least twice the interval")
	s.number(&c.MaxConnections, "max-links", link.DefaultMaxConnections, 1, 1<<20, "connections", "most links accepted at a time")

	s.group = "Operation"
	s.text(&c.HTTPCert, "http-cert", "", "PEM certificate of the HTTP listeners; with --http-key, or none for plain HTTP")
	s.text(&c.HTTPKey, "http-key", "", "PEM key of --http-cert")
	s.duration(&c.DrainTimeout, "drain-timeout", 5*time.Minute, 0, 24*time.Hour, "longest wait for requests in progress at a planned stop")
	s.choice(&c.LogLevel, "log-level", "info", "lowest level of log lines", logging.Levels)
	s.number(&c.RequestEvents, "timeline-request-events", timeline.DefaultRequestEvents, 1, 1<<20, "events", "events of requests kept in the time line")
	s.number(&c.StateEvents, "timeline-state-events", timeline.DefaultStateEvents, 1, 1<<20, "events", "events of state changes kept in the time line")
}

// check checks the settings that depend on each other. rpcFlag is the flag of the
// listener for other processes.
func (c *Common) check(s *settingSet, rpcFlag, rpcListen string) {
	if c.HeartbeatTimeout < 2*c.HeartbeatInterval {
		s.addFinding("heartbeat-timeout", "at least twice --heartbeat-interval, which is "+c.HeartbeatInterval.String())
	}
	if (c.HTTPCert == "") != (c.HTTPKey == "") {
		s.addFinding("http-cert", "both --http-cert and --http-key, or neither")
	} else if c.HTTPCert != "" {
		if _, err := tls.LoadX509KeyPair(c.HTTPCert, c.HTTPKey); err != nil {
			s.addFinding("http-cert", "a PEM certificate that matches --http-key: "+err.Error())
		}
	}
	c.checkLinks(s, rpcFlag, rpcListen)
}

func (c *Common) checkLinks(s *settingSet, rpcFlag, rpcListen string) {
	fileCount := 0
	for _, file := range []string{c.TLSFiles.Certificate, c.TLSFiles.Key, c.TLSFiles.CA} {
		if file != "" {
			fileCount++
		}
	}
	switch fileCount {
	case 0:
		const rule = "a loopback address, or mutual TLS by --tls-cert, --tls-key and --tls-ca"
		if isAddress(rpcListen) && !link.IsLoopback(rpcListen) {
			s.addFinding(rpcFlag, rule)
		}
		if isAddress(c.Advertise) && !link.IsLoopback(c.Advertise) {
			s.addFinding("advertise", rule)
		}
	case 3:
		config, err := c.TLSFiles.Load()
		if err != nil {
			s.addFinding("tls-cert", "PEM files that match each other: "+err.Error())
		}
		c.TLS = config
	default:
		s.addFinding("tls-cert", "all of --tls-cert, --tls-key and --tls-ca, or none")
	}
	if c.Advertise == "" && isAddress(rpcListen) && isWildcard(rpcListen) {
		s.addFinding("advertise", "required when --"+rpcFlag+" is a wildcard address")
	}
}
