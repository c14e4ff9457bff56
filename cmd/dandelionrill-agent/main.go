// Command dandelionrill-agent is part of the dandelionrill router fleet.
package main

func main() {}
