package routing

import "time"

// Limits that hold whatever the configuration says.
const (
	// LowestPriority is the least urgent priority that engines accept; 0 is the most urgent.
	LowestPriority = 9
	// HeaderTimeout and MaxHeaderBytes limit what a caller may send before the limits of
	// the configuration can be applied.
	HeaderTimeout  = 10 * time.Second
	MaxHeaderBytes = 64 << 10
)
