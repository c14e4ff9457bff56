// Package prompts compares placement policies for requests that name the parts
// of their prompt, on seeded traffic before engines as the users' platform
// describes them: batches whose steps grow with the requests, prompts read in
// chunks between the tokens of others, caches of prompt parts, and fetches from
// other engines. The decisions are those of decide/place; the routers know each
// other's load with a lag. Faults, lost packets and full caches are left out.
package prompts
