// Command review-2 plays the cases of the second review that are scripts: it starts routers and
// the stand-in of the store as processes, plays replicas and clients, and tells by its exit code
// whether the rule of the case was broken.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns whether its rule was broken, and a summary.
var cases = map[string]func(r *rig, trouble bool) (broken bool, summary string, err error){
	"joined":  joined,
	"blocked": blocked,
	"left":    left,
	"foreign": foreign,
}

func main() { os.Exit(run()) }

// run plays the case os.Args[3] from the repository os.Args[1] and writes the record os.Args[2].
func run() int {
	if len(os.Args) != 4 || cases[os.Args[3]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 REPOSITORY RECORD CASE")
		return exitNotRun
	}
	r, err := newRig(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return exitNotRun
	}
	defer r.close()
	broken, summary, err := cases[os.Args[3]](r, os.Getenv("TROUBLE") != "0")
	r.logf("%s", summary)
	fmt.Println(summary)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
