package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	transferPrefix = "/transfers/"
	transferRate   = 18.6 // requests a second
	transferBytes  = 600
	foreignTime    = 15 * time.Second
)

// foreignCounts are the results of the case foreign.
type foreignCounts struct{ sent, answered, run, changed atomic.Int64 }

// foreign lets another writer add an entry for each replica under a name that ends with a line
// break, and looks at what the replicas are given to run.
func foreign(r *rig, trouble bool) (broken bool, summary string, err error) {
	if err := r.startStore(); err != nil {
		return false, "", err
	}
	var c foreignCounts
	var addresses []string
	for i, zone := range zones {
		address, err := r.startStrict(fmt.Sprint("ledger-", i), "share-ledger", zone, &c)
		if err != nil {
			return false, "", err
		}
		addresses = append(addresses, address)
	}
	route := map[string]any{"name": "share-transfer", "host": registryHost, fieldPrefix: transferPrefix, fieldKind: "non_idempotent", "timeoutMs": lookupTime.Milliseconds(), fieldTarget: 150, "priority": 2, "service": "share-ledger", "maxAttempts": 1}
	service := map[string]any{"name": "share-ledger", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
	if err := r.put("config", "main", configurationOf(5, []map[string]any{route}, []map[string]any{service})); err != nil {
		return false, "", err
	}
	if err := r.startRouters(5); err != nil {
		return false, "", err
	}
	stop := poisson(transferRate, func(n int) {
		c.sent.Add(1)
		attempt, x := fmt.Sprint("f", n), r.routers[n%len(r.routers)]
		r.logf("sent    %s to %s", attempt, x.name)
		status, _, _, err := answer(post(x.callers, transferPrefix+"new", attempt, transferBody(attempt), lookupTime, http.Header{}))
		r.logf("answer  %s: status %d, %v", attempt, status, err)
		if err == nil && status == http.StatusOK {
			c.answered.Add(1)
		}
	})
	time.Sleep(5 * time.Second)
	if trouble {
		for i, address := range addresses {
			name := fmt.Sprintf("ledger-%d\n", i)
			spec := map[string]any{"service": "share-ledger", "address": address, "zone": zones[i], "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "born": time.Now().UnixMilli()}
			if err := r.call(http.MethodPost, objectsPath+"servers", map[string]any{"metadata": map[string]any{"name": name}, "spec": spec}); err != nil {
				return false, "", err
			}
			r.logf("entry   %q of another writer", name)
		}
	}
	time.Sleep(foreignTime)
	stop()
	summary = fmt.Sprintf("%d sent, %d answered, %d run, %d of these with another tenant, attempt or body", c.sent.Load(), c.answered.Load(), c.run.Load(), c.changed.Load())
	if c.run.Load() == 0 {
		err = errors.New("nothing ran")
	}
	return c.changed.Load() > 0, summary, err
}

func transferBody(attempt string) string {
	return attempt + strings.Repeat(" ", transferBytes-len(attempt))
}

// startStrict starts a replica that compares what it is given to run with what was sent.
func (r *rig) startStrict(id, service, zone string, c *foreignCounts) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, req *http.Request) {
		if !isMeant(w, req, id) {
			return
		}
		attempt := req.Header.Get(headerAttempt)
		if attempt == "" { // as the pages say, it is not run
			w.Header().Set(headerNotRun, "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c.run.Add(1)
		tenant := req.Header.Values(headerTenant)
		r.logf("run     %s at %s for tenant %q with a body of %d bytes", attempt, id, tenant, len(body))
		if !slices.Equal(tenant, []string{"desk"}) || string(body) != transferBody(attempt) {
			c.changed.Add(1)
			r.logf("UNASKED %s at %s: tenant %q, body %.60q", attempt, id, tenant, body)
		}
		time.Sleep(30 * time.Millisecond)
		w.Header().Set(headerSignature, id+"."+attempt)
		_, _ = io.WriteString(w, text(attempt))
	}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(handler)}).Serve(l) }()
	go r.keepEntry(entry{id, service, l.Addr().String(), zone, "v1", 6}, nil)
	return l.Addr().String(), nil
}
