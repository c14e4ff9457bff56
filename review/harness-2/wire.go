package main

import (
	_ "embed" // for wire.json
	"encoding/json"
)

// wireNames are names of the platform's wire. As in the harness of the first review, they stand in
// a file of their own: the project keeps them out of its code outside its adapter and its stand-ins.
//
//go:embed wire.json
var wireNames []byte

var names = func() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(wireNames, &out); err != nil {
		panic(err)
	}
	return out
}()

// Headers of requests and answers.
var (
	headerAttempt   = names["attempt"]
	headerExpected  = names["expected"]
	headerReplica   = names["replica"]
	headerSignature = names["signature"]
	headerDeadline  = names["deadline"]
	headerModel     = names["model"]
	headerTokens    = names["tokens"]
	headerPrompt    = names["prompt"]
	headerNotRun    = names["notRun"]
	headerTenant    = names["tenant"]
)

// Paths.
var (
	cacheListPath = names["cacheList"]
	readyPath     = names["ready"]
	objectsPath   = names["objects"]
)

// Fields of the configuration.
var (
	fieldPrefix = names["prefix"]
	fieldKind   = names["kind"]
	fieldTarget = names["target"]
	fieldKeys   = names["keys"]
)
