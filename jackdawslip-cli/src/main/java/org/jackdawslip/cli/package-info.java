/** The command line for operators, which also starts instances. */
package org.jackdawslip.cli;
