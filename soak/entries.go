package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionrill.example/standin/wire"
)

// entriesInterval is the mean time between two entries of the other writer.
const entriesInterval = 200 * time.Millisecond

// writeEntries writes entries of another writer until stop is closed: beside the entry of an
// upstream, with its address, and with a text that holds a control byte. Some go again.
func (s *Soak) writeEntries(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.opts.Seed, 2))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(entriesInterval/2 + time.Duration(random.Int64N(int64(entriesInterval)))):
		}
		active := s.fleet.active()
		if len(active) == 0 {
			continue
		}
		u := active[random.IntN(len(active))]
		name, entry := spoilEntry(random, u.id, wire.Entry{Service: u.service, Address: u.proxy.Address(), FailureDomain: u.failureDomain, Version: u.version, Slots: u.slots})
		if random.IntN(4) == 0 {
			s.fleet.store.RemoveObject(wire.KindUpstreams, name)
			continue
		}
		s.fleet.store.SetObject(wire.KindUpstreams, name, entry.Spec())
	}
}

// spoilEntry returns the name and the entry of an upstream with a control byte in one text.
func spoilEntry(random *rand.Rand, id string, entry wire.Entry) (string, wire.Entry) {
	control := string(rune(random.IntN(' ')))
	if random.IntN(2) == 0 {
		control = []string{"\n", "\r\n", "\r\n\r\n", "\r\nContent-Length: 0", "\x7f"}[random.IntN(5)]
	}
	name := fmt.Sprint("odd-", random.IntN(8)) // sometimes written again with another text
	switch random.IntN(6) {
	case 0:
		entry.FailureDomain += control
	case 1:
		entry.Version = control + entry.Version
	case 2:
		entry.Service += control
	case 3:
		entry.Address = "[::1%lo" + control + "]:1"
	default:
		name = []string{id + control, control + id, id[:1] + control + id[1:]}[random.IntN(3)]
	}
	return name, entry
}
