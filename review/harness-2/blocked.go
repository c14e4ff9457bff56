package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	lookupPrefix = "/holdings/"
	lookupRate   = 8.0 // requests a second
	lookupTime   = 1500 * time.Millisecond

	triagePrefix = "/triage/"
	triageRate   = 27.4 // requests a second
	triageTime   = 3 * time.Second
	triageEvents = 5

	engineCount   = 12
	crashedAtOnce = 3 // a quarter
	crashRounds   = 3
	crashTime     = 4500 * time.Millisecond
	calmTime      = 5 * time.Second // after the crashed replicas have been replaced
	steadyTime    = 20 * time.Second
	// minLater and minShare are the figures of the rule: of that many requests on a route that
	// was added later, this share of that on the first routes is served at least.
	minLater = 20
	minShare = 0.25
)

// outcomes are the requests of one route.
type outcomes struct {
	mu     sync.Mutex
	sent   []time.Time
	served []bool
}

func (o *outcomes) add(sent time.Time, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent, o.served = append(o.sent, sent), append(o.served, served)
}

// since returns how many requests were sent from a moment on, and how many of them were served.
func (o *outcomes) since(from time.Time) (sent, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, at := range o.sent {
		if at.Before(from) {
			continue
		}
		sent++
		if o.served[i] {
			served++
		}
	}
	return sent, served
}

// blocked crashes a quarter of the model replicas, three times, and compares the service on the
// route to them, which was added later, with that on the first route.
func blocked(r *rig, trouble bool) (broken bool, summary string, err error) {
	if err := r.startStore(); err != nil {
		return false, "", err
	}
	for i, zone := range zones {
		if err := r.startLedger(fmt.Sprint("ledger-", i), "share-ledger", zone, 30*time.Millisecond); err != nil {
			return false, "", err
		}
	}
	engines := make([]*unframed, engineCount)
	start := func(i, round int) error {
		engines[i] = &unframed{id: fmt.Sprintf("engine-%d-%d", i, round), events: triageEvents, first: 100 * time.Millisecond, interval: 80 * time.Millisecond}
		return r.startUnframed(engines[i], "registry-llm", zones[i%len(zones)])
	}
	for i := range engines {
		if err := start(i, 0); err != nil {
			return false, "", err
		}
	}
	first := map[string]any{"name": "holding-lookup", "host": registryHost, fieldPrefix: lookupPrefix, fieldKind: "idempotent", "timeoutMs": lookupTime.Milliseconds(), fieldTarget: 150, "priority": 2, "service": "share-ledger", "maxAttempts": 2}
	later := map[string]any{"name": "transfer-triage", "host": registryHost, fieldPrefix: triagePrefix, fieldKind: "streaming", "timeoutMs": triageTime.Milliseconds(), fieldTarget: 600, "targetItlMs": 400, "priority": 2, "service": "registry-llm", "maxAttempts": 1, "sticky": true, "resumable": false}
	services := []map[string]any{{"name": "share-ledger", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}, modelService("registry-llm")}
	if err := r.put("config", "main", configurationOf(5, []map[string]any{first}, services)); err != nil {
		return false, "", err
	}
	if err := r.startRouters(5); err != nil {
		return false, "", err
	}
	var lookups, triages outcomes
	stopLookups := poisson(lookupRate, func(n int) { lookups.add(time.Now(), lookUp(r, n)) })
	time.Sleep(2 * time.Second)
	if err := r.put("config", "main", configurationOf(9, []map[string]any{first, later}, services)); err != nil {
		return false, "", err
	}
	r.logf("config  version 9 with the route %s is acknowledged", triagePrefix)
	time.Sleep(2 * time.Second)
	stopTriages := poisson(triageRate, func(n int) { at := time.Now(); triages.add(at, triage(r, n)) })
	time.Sleep(calmTime)
	order := rand.Perm(engineCount)
	for round := range crashRounds {
		crashed := order[round*crashedAtOnce : (round+1)*crashedAtOnce]
		if trouble {
			for _, i := range crashed {
				engines[i].crash()
			}
		}
		time.Sleep(crashTime)
		if trouble {
			for _, i := range crashed {
				if err := start(i, round+1); err != nil {
					return false, "", err
				}
				r.logf("start   %s", engines[i].id)
			}
		}
		time.Sleep(calmTime)
	}
	from := time.Now()
	r.logf("steady  from now on")
	time.Sleep(steadyTime)
	stopTriages()
	stopLookups()
	sent, served := lookups.since(from)
	sentLater, servedLater := triages.since(from)
	summary = fmt.Sprintf("steady state: %d of %d served on the first route, %d of %d on the route added later", served, sent, servedLater, sentLater)
	if sent < minLater || sentLater < minLater {
		return false, summary, fmt.Errorf("too few requests")
	}
	return float64(servedLater)/float64(sentLater) < minShare*float64(served)/float64(sent), summary, nil
}

// lookUp sends a request on the first route, and again after any failure.
func lookUp(r *rig, n int) (served bool) {
	end := time.Now().Add(lookupTime)
	for try := range 2 {
		attempt, x := fmt.Sprintf("l%d-%d", n, try), r.routers[rand.IntN(len(r.routers))]
		left := time.Until(end)
		if left < 50*time.Millisecond {
			return false
		}
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s%d", x.callers, lookupPrefix, n), nil)
		if err != nil {
			return false
		}
		req.Host = registryHost
		setCommon(req.Header, attempt, left)
		r.logf("sent    %s to %s", attempt, x.name)
		status, body, _, err := answer(clientFor(left).Do(req))
		r.logf("answer  %s: status %d, %v", attempt, status, err)
		if err == nil && status == http.StatusOK && body == text(attempt) {
			return true
		}
	}
	return false
}

// triage sends a request on the later route, and again after a refusal, when that says.
func triage(r *rig, n int) (served bool) {
	end := time.Now().Add(triageTime)
	for try := range 2 {
		attempt, x := fmt.Sprintf("t%d-%d", n, try), r.routers[rand.IntN(len(r.routers))]
		left := time.Until(end)
		if left < 50*time.Millisecond {
			return false
		}
		h := http.Header{}
		h.Set(headerTokens, "2401,25")
		h.Set(headerPrompt, fmt.Sprintf("5c1e07a2:1200,%08x:841,%08x:360", 0x91bd0000+n%93, 0xe4400000+n))
		r.logf("sent    %s to %s", attempt, x.name)
		status, body, wait, err := answer(post(x.callers, fmt.Sprintf("%s%d", triagePrefix, n), attempt, fmt.Sprint(n, strings.Repeat("n", 2400)), left, h))
		r.logf("answer  %s: status %d, Retry-After %v, %v", attempt, status, wait, err)
		switch {
		case err == nil && status == http.StatusOK:
			var want strings.Builder
			for k := range triageEvents {
				want.WriteString(plainEvent(attempt, k+1))
			}
			return body == want.String()
		case status != http.StatusServiceUnavailable:
			return false
		}
		time.Sleep(min(wait, time.Until(end)/3))
	}
	return false
}

// answer reads an answer whole.
func answer(resp *http.Response, err error) (status int, body string, wait time.Duration, _ error) {
	if err != nil {
		return 0, "", 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	wait, _ = time.ParseDuration(resp.Header.Get("Retry-After") + "s") // none means 0
	return resp.StatusCode, string(data), wait, err
}
