package cli

import (
	"context"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"dandelionrill.example/fleet/entry"
	"dandelionrill.example/fleet/logging"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/settings"
)

// Gateway runs a router on the users' platform until ctx ends, and returns the
// exit code.
func Gateway(ctx context.Context, args []string, env Environment) int {
	// Before the settings are read, so that none that change meanwhile are missed.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	s, err := settings.ParseGateway(args, env.Getenv)
	var platformSettings platform.Settings
	if err == nil && (s.Action == settings.ActionRun || s.Action == settings.ActionCheck) {
		platformSettings, err = platform.LoadSettings(s.Config)
	}
	if code, done := handleAction(s.Action, settings.GatewayHelp(), err, env); done {
		return code
	}
	return reportResult(runGateway(ctx, s, platformSettings, hangup, env), env)
}

func runGateway(ctx context.Context, s *settings.Gateway, platformSettings platform.Settings, hangup <-chan os.Signal, env Environment) error {
	logger, stop, err := logging.NewBounded(logging.Options{
		Level: s.LogLevel, Output: env.Stdout, Process: platformSettings.Host,
	})
	if err != nil {
		return err
	}
	defer stop()
	port := ""
	if s.MetricsPort != 0 {
		port = strconv.FormatInt(s.MetricsPort, 10)
	}
	router, err := entry.New(entry.Options{Settings: platformSettings, SettingsPath: s.Config, MetricsPort: port, Hangup: hangup, Log: logger})
	if err != nil {
		return err
	}
	return router.Run(ctx)
}
