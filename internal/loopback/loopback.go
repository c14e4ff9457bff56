// Package loopback reserves loopback addresses for processes that tests start, so
// that two runs on one machine never use the same address. No product package
// imports it.
package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// maxReservations is the number of addresses that can be reserved at once.
	maxReservations = 2000
	// hostsPerNetwork is the number of addresses used of each 127.77.N.0/24.
	hostsPerNetwork = 250
)

// Reservation is an address of 127.77.0.0/16 that no other process on the machine
// can reserve until it is released or the process that holds it ends.
type Reservation struct {
	// IP is the address. All its ports are free as long as no server listens on
	// all addresses of the machine.
	IP   string
	lock *os.File
}

// Reserve reserves an address. It fails if lock files cannot be created in the
// directory for temporary files, or if all addresses are reserved.
func Reserve() (*Reservation, error) {
	for i := range maxReservations {
		n := (os.Getpid() + i) % maxReservations
		lock, err := tryLock(filepath.Join(os.TempDir(), fmt.Sprintf("dandelionrill-loopback-%d.lock", n)))
		if err != nil {
			return nil, err
		}
		if lock != nil {
			return &Reservation{IP: fmt.Sprintf("127.77.%d.%d", n/hostsPerNetwork, 1+n%hostsPerNetwork), lock: lock}, nil
		}
	}
	return nil, errors.New("loopback: all addresses are reserved")
}

// tryLock locks the file, or returns nil if another process or reservation holds
// it. The file stays when it is unlocked: removing it would let two processes lock
// different files of one name.
func tryLock(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, errors.Wrap(err, "loopback: lock file")
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close() // nothing was written
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, errors.Wrap(err, "loopback: lock file")
}

// Release gives the address up. The processes that use it must have ended.
func (r *Reservation) Release() error {
	return errors.Wrap(r.lock.Close(), "loopback: release")
}
