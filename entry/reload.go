package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dandelionrill.example/fleet/platform"
)

// watchSettings reads the settings file again when it changes or on SIGHUP.
func (h *Host) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	seen := modified(h.opts.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modified(h.opts.SettingsPath) == seen {
				continue
			}
		}
		seen = modified(h.opts.SettingsPath)
		h.reload()
	}
}

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// modified returns when the file was changed, and zero if it cannot be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload checks the settings file and puts it in force; on error the settings
// that were in force stay.
func (h *Host) reload() {
	s, err := platform.LoadSettings(h.opts.SettingsPath)
	if err != nil {
		h.log.WithError(err).Error("settings not reloaded; the old ones stay in force")
		return
	}
	h.mesh.SetSeeds(s.SeedAddresses)
	h.gateway.SetPolicy(policy(&s))
	h.stop.setLimit(s.Bounds.Stop)
	h.log.WithField("path", h.opts.SettingsPath).Info("settings reloaded")
}
