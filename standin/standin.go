// Package standin is the root of the stand-ins for systems outside the fleet.
package standin
