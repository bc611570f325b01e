// Command pomelosill is the command line of operators and callers.
package main

func main() {}
