// Command standin runs a stand-in for a system outside the fleet.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dandelionrill.example/standin/engine"
	"dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/service"
)

const (
	exitFailed = 1
	exitUsage  = 2

	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = time.Second
)

var errUsage = errors.New("usage: standin <platform|engine|service> [flags]")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := run(ctx, os.Args[1:])
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	flags := flag.NewFlagSet("standin "+args[0], flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on")
	var handler func() http.Handler
	switch args[0] {
	case "platform":
		handler = func() http.Handler { return platform.New(platform.Options{}) }
	case "engine":
		options := engineFlags(flags)
		handler = func() http.Handler { return engine.New(*options) }
	case "service":
		name := flags.String("name", "", "name shown in answers")
		handler = func() http.Handler { return service.New(service.Options{Name: *name}) }
	default:
		return errUsage
	}
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	return serve(ctx, *listen, handler())
}

func engineFlags(flags *flag.FlagSet) *engine.Options {
	var o engine.Options
	flags.StringVar(&o.Name, "name", "", "name shown in answers")
	flags.IntVar(&o.MaxBatch, "max-batch", engine.DefaultMaxBatch, "requests that run at once")
	flags.DurationVar(&o.TimePerToken, "time-per-token", 0, "time between two tokens of a lone request")
	flags.DurationVar(&o.TimePerTokenPeer, "time-per-token-peer", 0, "time added for each other running request")
	flags.DurationVar(&o.PrefillPerToken, "prefill-per-token", 0, "time for each prompt token that is not cached")
	flags.IntVar(&o.CacheBlocks, "cache-blocks", engine.DefaultCacheBlocks, "blocks in the prefix cache")
	flags.IntVar(&o.BlockTokens, "block-tokens", engine.DefaultBlockTokens, "tokens in a block")
	flags.IntVar(&o.AnswerTokens, "answer-tokens", engine.DefaultAnswerTokens, "tokens in an answer")
	flags.DurationVar(&o.LoadLag, "load-lag", 0, "age that a load report may reach")
	flags.DurationVar(&o.EventLag, "event-lag", 0, "time until a cache event is shown")
	flags.IntVar(&o.EventGapEvery, "event-gap-every", 0, "lose each so many-th cache event; 0 for none")
	flags.BoolVar(&o.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	return &o
}

// serve runs handler on address until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	fmt.Println("listening", listener.Addr())
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		return server.Close()
	}
	return nil
}
