package spread

import (
	"crypto/sha256"
	"encoding/hex"
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
