// Command equal-request shows a stream that is taken up at another version than the one that began
// it: the record of an equal request is taken for that of the stream.
package main

import (
	"dandelionrill.example/review3/chats"
	"dandelionrill.example/review3/lab"
)

func main() {
	lab.Main(func(l *lab.Lab) (bool, error) { return chats.Run(l, chats.Options{Equal: true, Crash: 2}) })
}
