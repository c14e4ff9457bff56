// Package crowd tests real router processes against crowds of callers that do not behave:
// many unfinished bodies and heads, connections without requests, and answers that nobody
// reads. A process must live, stay within the limits of its settings, and answer an ordinary
// request while the crowd stays. The tests run one at a time, apart from other packages: see
// the target test of the Makefile.
package crowd
