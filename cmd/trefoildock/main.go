// Command trefoildock runs a node and the operator commands.
package main

func main() {}
