package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dandelionrill.example/fleet/platform"
)

// watchSettings reloads the settings when the file changes or on SIGHUP, until ctx
// ends.
func (h *Host) watchSettings(ctx context.Context) {
	hangup := h.opts.Hangup
	if hangup == nil {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGHUP)
		defer signal.Stop(signals)
		hangup = signals
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(h.opts.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modTime(h.opts.SettingsPath) == lastModified {
				continue
			}
		}
		lastModified = modTime(h.opts.SettingsPath)
		h.reload()
	}
}

// settingsPollInterval is how often the settings file is checked, since it may
// change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// modTime returns the modification time of the file; zero if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload loads the settings file and applies it. On error the current settings
// stay in force.
func (h *Host) reload() {
	s, err := platform.LoadSettings(h.opts.SettingsPath)
	if err != nil {
		h.log.WithError(err).Error("cannot reload the settings; the previous ones stay in force")
		return
	}
	h.mesh.SetSeeds(s.SeedAddresses)
	h.gateway.SetPolicy(policy(&s))
	h.gateway.SetRegions(s.Regions)
	h.stop.setLimit(s.Bounds.Stop)
	h.log.WithField("path", h.opts.SettingsPath).Info("settings reloaded")
}
