// Package experiment is the root of the seeded experiments with the fleet's decision
// code.
package experiment
