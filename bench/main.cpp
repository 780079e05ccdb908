/**
 * greengageseam-bench: measurements, one JSON line for each case.
 */
#include <iostream>

int main()
{
    std::cout << "{}\n";
    return 0;
}
