package chain

// Prompt returns the parts of the prompt of a turn: the input and the output of each turn
// of history, in order, followed by input. The parts are shared with the turns.
func Prompt(history []*Turn, input []byte) (parts [][]byte) {
	for _, turn := range history {
		parts = append(parts, turn.Input, turn.Output)
	}
	return append(parts, input)
}
