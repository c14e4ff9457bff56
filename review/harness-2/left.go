package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	leftRounds   = 5
	leftSessions = 70 // in each round
	leftTurnTime = 2 * time.Second
	leftRouters  = 5
	leftBefore   = 200 * time.Millisecond  // from the end of the old replicas' entries to the kill of the routers
	leftServing  = 2200 * time.Millisecond // for which a replica goes on serving without its entry: drainMs and a little longer
	leftDown     = 1400 * time.Millisecond // from the kill of the routers to their start
	leftTries    = 4                       // of one turn
	leftEvents   = 120                     // of one stream
)

// left lets sessions have two turns while two versions of a service are in use. While the second
// turns are answered, the replicas of the old version leave, and all routers are killed. It does so
// several times.
func left(r *rig, trouble bool) (broken bool, summary string, err error) {
	if err := r.startStore(); err != nil {
		return false, "", err
	}
	if _, err := r.startVersion("v2", "v2"); err != nil {
		return false, "", err
	}
	if err := r.put("config", "main", configurationOf(5, []map[string]any{counterRoute(nil)}, []map[string]any{modelService("registry-llm")})); err != nil {
		return false, "", err
	}
	if err := r.startRouters(leftRouters); err != nil {
		return false, "", err
	}
	var c joinedCounts
	for round := range leftRounds {
		leave, err := r.startVersion("v1", fmt.Sprint("v1-", round))
		if err != nil {
			return false, "", err
		}
		time.Sleep(2 * time.Second)
		r.turns(round, 1, &c).Wait()
		time.Sleep(time.Second)
		second := r.turns(round, 2, &c)
		time.Sleep(leftTurnTime)
		if trouble {
			r.logf("leave   the entries of the replicas of v1 are removed")
			for _, f := range leave {
				f(leftServing)
			}
			time.Sleep(leftBefore)
			r.killRouters()
			r.logf("kill    all routers")
			time.Sleep(leftDown)
			if err := r.restartRouters(); err != nil {
				return false, "", err
			}
			r.logf("start   all routers")
		}
		second.Wait()
	}
	if trouble && c.brokenOff.Load() == 0 {
		err = errors.New("no stream broke off")
	}
	return c.joined.Load() > 0, c.summary(), err
}

// startVersion starts three replicas of a version of the service.
func (r *rig) startVersion(version, prefix string) (leave []func(time.Duration), err error) {
	for i := range 3 {
		m := &model{id: fmt.Sprintf("%s-%d", prefix, i), version: version, events: leftEvents, first: 30 * time.Millisecond, interval: 25 * time.Millisecond}
		stop, err := r.startModel(m, "registry-llm", zones[i])
		if err != nil {
			return nil, err
		}
		leave = append(leave, stop)
	}
	return leave, nil
}

// turns lets all sessions of a round have a turn, which they begin within leftTurnTime.
func (r *rig) turns(round, turn int, c *joinedCounts) *sync.WaitGroup {
	var calls sync.WaitGroup
	for i := range leftSessions {
		calls.Go(func() {
			time.Sleep(rand.N(leftTurnTime))
			readTurn(r, round*leftSessions+i, turn, c)
		})
	}
	return &calls
}

// readTurn reads the stream of a turn, and takes it up at other routers while it breaks off. The
// last part of its prompt belongs to the session, the one before to the document of the turn.
func readTurn(r *rig, session, turn int, c *joinedCounts) {
	c.streams.Add(1)
	a := ask{
		name: fmt.Sprintf("s%d-%d", session, turn), path: fmt.Sprintf("%s%d/%d", counterPrefix, session, turn),
		prompt: fmt.Sprintf("5c1e07a2:400,%08x:299,%08x:130", 0x91bd0000+rand.IntN(106), 0xe4400000+session),
	}
	end := time.Now().Add(counterTime)
	var s stream
	for try := range leftTries {
		x := r.routers[rand.IntN(len(r.routers))]
		attempt, before := fmt.Sprintf("%s-%d", a.name, try), s.last
		r.logf("sent    %s to %s after event %d", attempt, x.name, before)
		status, err := s.read(x.callers, a, attempt, time.Until(end))
		r.logf("answer  %s: status %d, up to event %d, %v", attempt, status, s.last, err)
		switch {
		case try > 0 && status == http.StatusOK && before > 0:
			c.takenUp.Add(1)
		case try > 0 && status == http.StatusServiceUnavailable:
			c.refused.Add(1)
		}
		if status == http.StatusOK && err == nil || s.last == leftEvents {
			break
		}
		if try == 0 {
			c.brokenOff.Add(1)
		}
		time.Sleep(min(time.Second, time.Until(end)/3))
	}
	s.report(r, a, c)
}
