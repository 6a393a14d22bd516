package chain

// Prompt returns the prompt of a turn: the input and the output of each turn of
// history, in order, followed by input.
func Prompt(history []*Turn, input []byte) []byte {
	size := len(input)
	for _, turn := range history {
		size += len(turn.Input) + len(turn.Output)
	}
	prompt := make([]byte, 0, size)
	for _, turn := range history {
		prompt = append(prompt, turn.Input...)
		prompt = append(prompt, turn.Output...)
	}
	return append(prompt, input...)
}
