// Package experiment is the root of seeded experiments over the decision code.
package experiment
