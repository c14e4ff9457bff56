// Command dandelionrill is part of the dandelionrill router fleet.
package main

func main() {}
