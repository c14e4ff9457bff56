package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Lab is the setting of one case.
type Lab struct {
	Record  *Record
	Store   *Store
	Dir     string // temporary
	Trouble bool

	routers  []*Router
	replicas []*Replica
}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// Main runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. Its argument is the folder of the record.
func Main(run func(*Lab) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], run))
}

func runCase(folder string, run func(*Lab) (broken bool, err error)) int {
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if l.Record, err = NewRecord(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.Record.Close()
	if l.Dir, err = os.MkdirTemp("", "review3-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(l.Dir)
	} else {
		fmt.Println(l.Dir)
	}
	defer l.close()
	if l.Store, err = NewStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(l)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			l.Record.Printf("the case could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return 2
		case r.broken:
			return 1
		}
		return 0
	case <-time.After(timeLimit):
		l.Record.Printf("the case could not run: it took too long")
		return 2
	}
}

// Result records the outcome and prints it.
func (l *Lab) Result(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Record.Printf("result: %s", text)
	fmt.Println(text)
}

// Router reserves a router that ends with the case.
func (l *Lab) Router(name, zone string) (*Router, error) {
	r, err := ReserveRouter(l.Dir, name, zone)
	if err == nil {
		l.routers = append(l.routers, r)
	}
	return r, err
}

// Replica starts a replica that ends with the case.
func (l *Lab) Replica(options ReplicaOptions) (*Replica, error) {
	r, err := NewReplica(l.Record, options)
	if err == nil {
		l.replicas = append(l.replicas, r)
	}
	return r, err
}

func (l *Lab) close() {
	for _, r := range l.routers {
		r.Kill()
	}
	for _, r := range l.replicas {
		r.Close()
	}
	if l.Store != nil {
		l.Store.Close()
	}
}
