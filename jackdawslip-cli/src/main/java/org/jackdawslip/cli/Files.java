package org.jackdawslip.cli;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * Reads and writes files. Errors are reported as {@link JackdawslipException} with
 * {@link ErrorCode#INVALID_ARGUMENT} and name the file. Stateless and thread-safe.
 */
final class Files {

    private Files() {}

    static byte[] read(String name) {
        try {
            return java.nio.file.Files.readAllBytes(Path.of(name));
        } catch (NoSuchFileException e) {
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "file \"" + name + "\" does not exist", e);
        } catch (IOException e) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "file \"" + name + "\" cannot be read: " + e.getMessage(), e);
        }
    }

    static void write(String name, byte[] content) {
        try {
            java.nio.file.Files.write(Path.of(name), content);
        } catch (IOException e) {
            throw writeError(name, e);
        }
    }

    /** Writes a new file that only its owner may read and write. Fails if the file exists. */
    static void writeOwnerOnly(String name, byte[] content) {
        try {
            Path path = java.nio.file.Files.createFile(
                    Path.of(name), PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            java.nio.file.Files.write(path, content, StandardOpenOption.WRITE);
        } catch (FileAlreadyExistsException e) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "file \"" + name + "\" already exists and is not overwritten", e);
        } catch (IOException e) {
            throw writeError(name, e);
        }
    }

    private static JackdawslipException writeError(String name, IOException e) {
        return new JackdawslipException(
                ErrorCode.INVALID_ARGUMENT, "file \"" + name + "\" cannot be written: " + e.getMessage(), e);
    }
}
