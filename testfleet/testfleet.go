// Package testfleet starts a fleet of real processes with scripts/fleet, for tests
// and benchmarks. No product package imports it.
package testfleet

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"

	"dandelionrill.example/fleet/internal/loopback"
	"github.com/cockroachdb/errors"
)

// Options sets the size of the fleet; zero values leave the script's defaults.
type Options struct {
	Engines      int
	Replicas     int
	Routers      int
	EngineFlags  string   // flags of the engine stand-ins
	LoadMultiple float64  // load multiple of both services
	Environment  []string // environment variables of all processes, as NAME=value
}

// Fleet is a running fleet. Its methods may be called concurrently.
type Fleet struct {
	directory   string
	reservation *loopback.Reservation // of the address of all processes
	addresses   map[string]string
	ids         map[string]int
}

// Start builds and starts a fleet that keeps its process ids and logs in
// directory, which it creates if missing.
func Start(directory string, options Options) (*Fleet, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, errors.Wrap(err, "testfleet: start")
	}
	reservation, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	environment := append([]string{"FLEET_RUN=" + directory, "FLEET_ADDRESS=" + reservation.IP}, options.Environment...)
	setVariable := func(name string, value any, isSet bool) {
		if isSet {
			environment = append(environment, fmt.Sprintf("%s=%v", name, value))
		}
	}
	setVariable("FLEET_ENGINES", options.Engines, options.Engines > 0)
	setVariable("FLEET_REPLICAS", options.Replicas, options.Replicas > 0)
	setVariable("FLEET_ROUTERS", options.Routers, options.Routers > 0)
	setVariable("FLEET_ENGINE_FLAGS", options.EngineFlags, options.EngineFlags != "")
	setVariable("FLEET_LOAD_MULTIPLE", options.LoadMultiple, options.LoadMultiple > 0)
	f := &Fleet{directory: directory, reservation: reservation}
	if err := f.runScript("up", environment...); err != nil {
		return nil, errors.CombineErrors(err, reservation.Release())
	}
	if err := f.readState(); err != nil {
		return nil, errors.CombineErrors(err, f.Stop())
	}
	return f, nil
}

// Stop ends the processes of the fleet. It returns an error if some had ended by
// themselves before.
func (f *Fleet) Stop() error {
	ended := f.CheckRunning()
	if err := f.runScript("down", "FLEET_RUN="+f.directory); err != nil {
		return errors.CombineErrors(ended, err) // processes may still use the address
	}
	return errors.CombineErrors(ended, f.reservation.Release())
}

// Address returns the value that the script recorded under name, such as the
// address of router-1.
func (f *Fleet) Address(name string) string { return f.addresses[name] }

// ID returns the process id of the named process.
func (f *Fleet) ID(name string) int { return f.ids[name] }

// IDs returns the process ids of all processes whose names begin with prefix.
func (f *Fleet) IDs(prefix string) []int {
	var ids []int
	for name, id := range f.ids {
		if strings.HasPrefix(name, prefix) {
			ids = append(ids, id)
		}
	}
	return ids
}

// CustomerKey returns the API key of the fleet's only customer.
func (f *Fleet) CustomerKey() string { return f.addresses["customer-key"] }

// AdminToken returns the token of the admin listeners.
func (f *Fleet) AdminToken() string { return f.addresses["admin-token"] }

func (f *Fleet) runScript(command string, environment ...string) error {
	script := exec.Command(filepath.Join(repositoryRoot(), "scripts", "fleet"), command)
	script.Env = append(os.Environ(), environment...)
	output, err := os.CreateTemp(f.directory, "script-*.log")
	if err != nil {
		return errors.Wrap(err, "testfleet: script output")
	}
	defer func() { _ = output.Close() }()
	script.Stdout, script.Stderr = output, output
	if err := script.Run(); err != nil {
		printed, _ := os.ReadFile(output.Name())
		return errors.Wrapf(err, "testfleet: scripts/fleet %s: %s", command, printed)
	}
	return nil
}

func (f *Fleet) readState() error {
	f.addresses, f.ids = make(map[string]string), make(map[string]int)
	err := eachLine(filepath.Join(f.directory, "addresses"), func(line string) {
		name, value, _ := strings.Cut(line, "=")
		f.addresses[name] = value
	})
	if err != nil {
		return err
	}
	return eachLine(filepath.Join(f.directory, "ids"), func(line string) {
		fields := strings.Fields(line)
		f.ids[fields[0]], _ = strconv.Atoi(fields[1])
	})
}

func eachLine(path string, visit func(string)) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "testfleet: read state")
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		visit(lines.Text())
	}
	return errors.Wrap(lines.Err(), "testfleet: read state")
}

// repositoryRoot returns the root directory of the repository.
func repositoryRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(file))
}
