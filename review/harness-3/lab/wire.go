package lab

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// names are the names of the platform's headers and paths.
var names = decodeNames()

func decodeNames() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(wireNames, &out); err != nil {
		panic(err)
	}
	return out
}
