package engine

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"strings"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer returns the first count tokens of the answer to messages. The result
// depends on nothing else.
func Answer(messages []Message, count int) string {
	seed := promptSeed(promptTokens(messages))
	var text strings.Builder
	for i := range count {
		text.WriteString(answerToken(seed, i))
	}
	return text.String()
}

// promptTokens splits messages into tokens, one for each role and each word.
func promptTokens(messages []Message) []string {
	var tokens []string
	for _, message := range messages {
		tokens = append(tokens, roleToken(message.Role))
		tokens = append(tokens, strings.Fields(message.Content)...)
	}
	return tokens
}

func roleToken(role string) string { return "<" + role + ">" }

// promptSeed returns the digest of the prompt, from which the answer is derived.
func promptSeed(tokens []string) uint64 {
	h := fnv.New64a()
	for _, token := range tokens {
		_, _ = h.Write([]byte(token))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// answerToken returns token i of an answer: one word, preceded by a space unless
// it is the first.
func answerToken(seed uint64, i int) string {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, seed))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(i)))
	word := fmt.Sprintf("w%d-%04x", i, h.Sum64()>>48)
	if i == 0 {
		return word
	}
	return " " + word
}
