// Command main is a placeholder until the program lands.
package main

func main() {}
