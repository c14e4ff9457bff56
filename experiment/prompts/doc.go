// Package prompts compares placement policies for requests that name the parts of their
// prompt. It sends seeded traffic to engine models that follow the users' platform: batch
// steps take longer with more requests, prompts are prefilled in chunks between the tokens
// of other requests, prompt parts are cached, and cached parts can be fetched from other
// engines. The decisions are those of decide/place, and routers learn each other's loads
// with a lag. Faults, lost packets and full caches are not modelled.
package prompts
