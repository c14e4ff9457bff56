package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	registryHost = "registry.example"
	deskKey      = "desk-key"

	counterPrefix  = "/counter/"
	counterEvents  = 58
	counterRate    = 31.2 // streams a second
	counterTime    = 15 * time.Second
	upTime         = 64 * time.Second // of the routers before the first reset
	resetRounds    = 18
	resetInterval  = 2200 * time.Millisecond
	resetShare     = 0.55 // of the connections of a machine
	resetMachines  = 2    // of five
	joinedReplicas = 6    // of each service
)

// counterRoute returns a route whose streams can be resumed, of one service or split.
func counterRoute(split []map[string]any) map[string]any {
	route := map[string]any{
		"name": "counter-answer", "host": registryHost, fieldPrefix: counterPrefix, fieldKind: "streaming", "timeoutMs": counterTime.Milliseconds(),
		fieldTarget: 500, "targetItlMs": 400, "priority": 0, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
	}
	if split != nil {
		route["split"] = split
	} else {
		route["service"] = "registry-llm"
	}
	return route
}

// configurationOf returns a version of the configuration.
func configurationOf(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "desk", fieldKeys: []string{deskKey}}},
	}
}

func modelService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "runtime": map[string]any{"slots": 64, "kvCapacity": 530331}}
}

// joinedCounts are the results of the case joined.
type joinedCounts struct{ streams, brokenOff, takenUp, refused, joined atomic.Int64 }

func (c *joinedCounts) summary() string {
	return fmt.Sprintf("%d streams, %d broken off, %d taken up, %d take-ups refused, %d joined from two versions",
		c.streams.Load(), c.brokenOff.Load(), c.takenUp.Load(), c.refused.Load(), c.joined.Load())
}

// startProxies starts a proxy before each router.
func (r *rig) startProxies() (proxies []*proxy, err error) {
	for _, x := range r.routers {
		p, err := newProxy(x.callers)
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
	}
	return proxies, nil
}

// resetSome resets connections of clients at some of the routers, in turn.
func (r *rig) resetSome(proxies []*proxy, round int, trouble bool) {
	for k := range resetMachines {
		i := (resetMachines*round + k) % len(proxies)
		if trouble {
			r.logf("reset   %d connections of clients at %s", proxies[i].reset(resetShare), r.routers[i].name)
		}
	}
}

// joined resets connections of clients whose streams two services share, and looks for streams
// that were taken up at the other service.
func joined(r *rig, trouble bool) (broken bool, summary string, err error) {
	if err := r.startStore(); err != nil {
		return false, "", err
	}
	for i := range joinedReplicas {
		for service, version := range map[string]string{"registry-llm": "v1", "registry-llm-next": "v2"} {
			m := &model{id: fmt.Sprintf("%s-%d", version, i), version: version, events: counterEvents, first: 30 * time.Millisecond, interval: 25 * time.Millisecond}
			if _, err := r.startModel(m, service, zones[i%len(zones)]); err != nil {
				return false, "", err
			}
		}
	}
	route := counterRoute([]map[string]any{{"service": "registry-llm", "weight": 50}, {"service": "registry-llm-next", "weight": 50}})
	services := []map[string]any{modelService("registry-llm"), modelService("registry-llm-next")}
	if err := r.put("config", "main", configurationOf(5, []map[string]any{route}, services)); err != nil {
		return false, "", err
	}
	if err := r.startRouters(5); err != nil {
		return false, "", err
	}
	up := time.Now()
	proxies, err := r.startProxies()
	if err != nil {
		return false, "", err
	}
	var c joinedCounts
	stop := poisson(counterRate, func(n int) { readStream(r, proxies, requestOf(n), &c) })
	time.Sleep(time.Until(up.Add(upTime)))
	for round := range resetRounds {
		r.resetSome(proxies, round, trouble)
		time.Sleep(resetInterval)
	}
	stop()
	if trouble && c.takenUp.Load() == 0 {
		err = errors.New("no stream was taken up")
	}
	return c.joined.Load() > 0, c.summary(), err
}

// poisson calls f, with consecutive numbers, perSecond times a second at random moments. The
// function that it returns stops that and waits for the calls in progress.
func poisson(perSecond float64, f func(n int)) (stop func()) {
	done := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			calls.Go(func() { f(n) })
		}
	})
	return func() {
		close(done)
		calls.Wait()
	}
}

// stream is what a client has received of a stream over all attempts.
type stream struct {
	last    int      // identifier of the last event
	writers []string // versions of its events
	gap     bool     // an event did not follow the one before
}

// ask is what a client asks for.
type ask struct{ name, path, prompt string }

// requestOf returns a request that belongs to no session.
func requestOf(n int) ask {
	return ask{
		name: fmt.Sprint("c", n), path: fmt.Sprintf("%s%d", counterPrefix, n),
		prompt: fmt.Sprintf("5c1e07a2:400,%08x:299,%08x:130", 0x91bd0000+n%106, 0xe4400000+n),
	}
}

// readStream reads a stream, and takes it up once at another router if it breaks off.
func readStream(r *rig, proxies []*proxy, a ask, c *joinedCounts) {
	c.streams.Add(1)
	end := time.Now().Add(counterTime)
	var s stream
	at := rand.IntN(len(proxies))
	for try := range 2 {
		attempt := fmt.Sprintf("%s-%d", a.name, try)
		r.logf("sent    %s to %s after event %d", attempt, r.routers[at].name, s.last)
		before := s.last
		status, err := s.read(proxies[at].address, a, attempt, time.Until(end))
		r.logf("answer  %s: status %d, up to event %d, %v", attempt, status, s.last, err)
		switch {
		case try == 1 && status == http.StatusOK && before > 0:
			c.takenUp.Add(1)
		case try == 1 && status == http.StatusServiceUnavailable:
			c.refused.Add(1)
		}
		if status == http.StatusOK && err == nil || s.last == counterEvents {
			break
		}
		if try == 0 {
			c.brokenOff.Add(1)
		}
		at = (at + 1 + rand.IntN(len(proxies)-1)) % len(proxies)
	}
	s.report(r, a, c)
}

// report counts a stream that has events of two versions, or a gap.
func (s *stream) report(r *rig, a ask, c *joinedCounts) {
	if len(s.writers) > 1 || s.gap {
		c.joined.Add(1)
		r.logf("ORDER   stream %s is joined from the text of %s", a.name, strings.Join(s.writers, " and "))
	}
}

// read sends one attempt over a new connection and reads its events.
func (s *stream) read(address string, a ask, attempt string, left time.Duration) (status int, err error) {
	h := http.Header{}
	h.Set(headerTokens, "829,290")
	h.Set(headerPrompt, a.prompt)
	if s.last > 0 {
		h.Set(headerLastEvent, fmt.Sprint(s.last))
	}
	resp, err := post(address, a.path, attempt, strings.Repeat("q", 830), left, h)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, nil
	}
	id := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			_, _ = fmt.Sscan(text, &id)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			writer, _, _ := strings.Cut(text, " ")
			s.gap = s.gap || id != s.last+1
			s.last = id
			if !slices.Contains(s.writers, writer) {
				s.writers = append(s.writers, writer)
			}
		}
	}
	return resp.StatusCode, lines.Err()
}

// post sends a request for a model over a new connection.
func post(address, path, attempt, body string, left time.Duration, h http.Header) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps net/http from a retry of its own
	req.Host, req.Header = registryHost, h
	h.Set(headerModel, "m")
	setCommon(h, attempt, left)
	return clientFor(left).Do(req)
}

// setCommon sets the headers that all requests have.
func setCommon(h http.Header, attempt string, left time.Duration) {
	h.Set(headerAttempt, attempt)
	h.Set(headerDeadline, fmt.Sprint(left.Milliseconds()))
	h.Set("Authorization", "Bearer "+deskKey)
}

// clientFor returns a client that uses a new connection and waits for left at most.
func clientFor(left time.Duration) *http.Client {
	return &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}
