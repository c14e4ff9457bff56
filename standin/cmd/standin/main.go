// Command standin runs the stand-ins for systems outside the fleet.
package main

func main() {}
