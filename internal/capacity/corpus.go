package capacity

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Corpus returns the text of the Go files in all folders two levels below root, and of
// the Markdown files in docs. root must be the root of this repository. The files are
// shuffled with a fixed seed, so that unrelated files are adjacent. The text is then no
// more repetitive than the text that agents read and write.
func Corpus(root string) (text string, err error) {
	defer func() { err = errors.Wrap(err, "read the text files of the repository") }()
	var files []string
	for _, pattern := range []string{"*/*/*.go", "docs/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			return "", err
		}
		files = append(files, found...)
	}
	if len(files) == 0 {
		return "", errors.Errorf("%s is not the root of the repository", root)
	}
	random := rand.New(rand.NewPCG(1, 1))
	random.Shuffle(len(files), func(i, j int) { files[i], files[j] = files[j], files[i] })
	var all strings.Builder
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return "", err
		}
		all.Write(content)
	}
	return all.String(), nil
}
