package cli

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A SIGHUP while a starting router reads its settings must neither end it nor be lost. The
// settings are a pipe here, so that they are read for as long as the test wants.
func TestHangupWhileSettingsAreReadIsKept(t *testing.T) {
	if path := os.Getenv("HANGUP_TEST_SETTINGS"); path != "" {
		os.Exit(Gateway(context.Background(), []string{"--config", path}, SystemEnvironment()))
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, syscall.Mkfifo(path, 0o600))
	cmd := exec.Command(os.Args[0], "-test.run", "^TestHangupWhileSettingsAreReadIsKept$")
	cmd.Env = append(os.Environ(), "HANGUP_TEST_SETTINGS="+path)
	must.NoError(t, cmd.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process reads
	must.NoError(t, err)
	must.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = settings.WriteString("not valid")
	must.NoError(t, err)
	must.NoError(t, settings.Close())
	must.Error(t, cmd.Wait())
	status := cmd.ProcessState.Sys().(syscall.WaitStatus)
	must.False(t, status.Signaled(), must.Sprint("ended by ", status.Signal()))
}
