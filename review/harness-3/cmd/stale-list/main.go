// Command stale-list shows a stream that is taken up at another version than the one that began
// it: a cache list that was read before the stream began is taken for a proof.
package main

import (
	"dandelionrill.example/review3/chats"
	"dandelionrill.example/review3/lab"
)

func main() {
	lab.Main(func(l *lab.Lab) (bool, error) { return chats.Run(l, chats.Options{Roll: true}) })
}
