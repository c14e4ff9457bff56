// Package standin is the root of the module with the stand-ins for systems
// outside the fleet.
package standin
