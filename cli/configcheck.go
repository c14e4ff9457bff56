package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/routing/check"
	"dandelionrill.example/fleet/settings"

	"github.com/cockroachdb/errors"
)

const (
	// exitUnreadable is the exit code if a configuration or the version in force could
	// not be read.
	exitUnreadable = 2
	// Inputs of this size, or this many, take long enough that progress is shown.
	largeInputBytes = 1 << 20
	largeInputFiles = 20
)

// checkedFile is the result for one file. Its JSON form is the output.
type checkedFile struct {
	File     string          `json:"file"`
	Error    string          `json:"error,omitempty"` // why it could not be read
	Version  uint64          `json:"version"`
	Findings []check.Finding `json:"findings"`
	Changes  []check.Change  `json:"changes"` // none if routers cannot decode it
}

// checkResult is the JSON output of a check.
type checkResult struct {
	InForce  uint64        `json:"inForce"` // version in force; 0 if there is none or none was given
	Files    []checkedFile `json:"files"`
	Errors   int           `json:"errors"`
	Warnings int           `json:"warnings"`
	Unread   int           `json:"unread"`
}

// configurationChecker checks configurations of the platform against one version in
// force.
type configurationChecker struct {
	settings *settings.Configuration
	env      Environment
	inForce  *check.Input // nil if there is none
}

// checkConfigurations checks the configurations of the platform in a file, a directory or
// the standard input, and returns the exit code.
func checkConfigurations(ctx context.Context, c *settings.Configuration, env Environment) int {
	k := &configurationChecker{settings: c, env: env}
	files, err := inputFiles(c.File)
	if err == nil {
		err = k.readInForce(ctx)
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, "dandelionrill:", err)
		return exitUnreadable
	}
	result := k.checkFiles(files)
	write := writeCheckText
	if c.Format == settings.FormatJSON {
		write = writeCheckJSON
	}
	if err := write(env.Stdout, result); err != nil {
		return reportResult(err, env)
	}
	switch {
	case result.Unread > 0:
		return exitUnreadable
	case result.Errors > 0, c.FailOn == settings.FailOnWarning && result.Warnings > 0:
		return exitFailed
	}
	return exitOK
}

// inputFiles returns the files to check: the file, or all .json files of a directory.
func inputFiles(name string) ([]string, error) {
	if name == "-" {
		return []string{name}, nil
	}
	info, err := os.Stat(name)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	if !info.IsDir() {
		return []string{name}, nil
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return nil, errors.Wrap(err, "read configurations")
	}
	var files []string
	for _, e := range entries {
		if !e.IsDir() && filepath.Ext(e.Name()) == ".json" {
			files = append(files, filepath.Join(name, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, errors.Newf("read configurations: no .json file in %s", name)
	}
	return files, nil
}

// readInForce reads the version in force from a file or the platform's store. It fails if
// routers would refuse it.
func (k *configurationChecker) readInForce(ctx context.Context) error {
	var spec []byte
	var err error
	switch {
	case k.settings.InForce != "":
		spec, err = os.ReadFile(k.settings.InForce)
	case k.settings.Platform != "":
		spec, err = k.readStore(ctx)
		if errors.Is(err, platform.ErrNoConfiguration) {
			fmt.Fprintln(k.env.Stderr, "dandelionrill: the store holds no configuration")
			return nil
		}
	default:
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the version in force")
	}
	report := platform.CheckConfiguration(spec, 0)
	if report.Errors() > 0 {
		return errors.New("read the version in force: routers refuse it; check it by itself")
	}
	k.inForce = &report.Input
	return nil
}

func (k *configurationChecker) readStore(ctx context.Context) ([]byte, error) {
	client, err := platform.NewClient(platform.ClientOptions{BaseURL: k.settings.Platform})
	if err != nil {
		return nil, err
	}
	return client.Configuration(ctx)
}

func (k *configurationChecker) checkFiles(files []string) *checkResult {
	result := &checkResult{Files: make([]checkedFile, 0, len(files))}
	if k.inForce != nil {
		result.InForce = k.inForce.Configuration.Version
	}
	for i, name := range files {
		if len(files) >= largeInputFiles {
			k.progress("file %d of %d: %s", i+1, len(files), name)
		}
		checked := k.checkFile(name, result.InForce)
		result.Files = append(result.Files, checked)
		if checked.Error != "" {
			result.Unread++
		}
		for _, f := range checked.Findings {
			if f.Severity == check.SeverityError {
				result.Errors++
			} else {
				result.Warnings++
			}
		}
	}
	return result
}

func (k *configurationChecker) progress(format string, args ...any) {
	fmt.Fprintf(k.env.Stderr, "dandelionrill: "+format+"\n", args...)
}

func (k *configurationChecker) checkFile(name string, inForce uint64) checkedFile {
	checked := checkedFile{File: name, Findings: []check.Finding{}, Changes: []check.Change{}}
	spec, err := k.read(name)
	if err != nil {
		checked.Error = err.Error()
		return checked
	}
	large := len(spec) >= largeInputBytes
	if large {
		k.progress("%s: decoding and checking %d bytes", name, len(spec))
	}
	report := platform.CheckConfiguration(spec, inForce)
	checked.Findings = append(checked.Findings, report.Findings...)
	next := report.Input
	if next.Configuration == nil {
		return checked
	}
	checked.Version = next.Configuration.Version
	if k.inForce != nil && !report.Refused {
		if large {
			k.progress("%s: comparing %d routes with version %d", name, len(next.Configuration.Routes), inForce)
		}
		checked.Changes = append(checked.Changes, check.Diff(*k.inForce, next)...)
	}
	return checked
}

func (k *configurationChecker) read(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(k.env.Stdin)
	}
	return os.ReadFile(name)
}

func writeCheckJSON(out io.Writer, result *checkResult) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(result), "write the result")
}

func writeCheckText(out io.Writer, result *checkResult) error {
	w := bufio.NewWriter(out)
	for _, file := range result.Files {
		if file.Error != "" {
			fmt.Fprintf(w, "%s: cannot be read: %s\n", file.File, file.Error)
			continue
		}
		fmt.Fprintf(w, "%s: version %d, %d findings\n", file.File, file.Version, len(file.Findings))
		for _, f := range file.Findings {
			place := f.Place
			if place != "" {
				place += ": "
			}
			fmt.Fprintf(w, "  %s: %s%s [%s]\n", f.Severity, place, f.Reason, f.Code)
		}
		if len(file.Changes) > 0 {
			fmt.Fprintf(w, "  changes from version %d:\n", result.InForce)
		}
		for _, c := range file.Changes {
			fmt.Fprintf(w, "  %s: %s\n    requests in progress: %s\n    new requests: %s\n", c.Subject, c.Change, c.InProgress, c.New)
		}
	}
	fmt.Fprintf(w, "%d errors, %d warnings\n", result.Errors, result.Warnings)
	return errors.Wrap(w.Flush(), "write the result")
}
